package configurer

import "encoding/json"

// MarshalJSON returns the plan as in a response of the operators' API.
func (p Plan) MarshalJSON() ([]byte, error) { return json.Marshal(newPlanWire(p)) }

// MarshalJSON returns the change as in a response of the operators' API.
func (a ChangeResult) MarshalJSON() ([]byte, error) {
	return json.Marshal(changeWire{Revision: a.revision, Everywhere: a.everywhere, Force: newHoldingWires(a.vmRevisions)})
}

// MarshalJSON returns the revision as in a response of the operators' API.
func (s Summary) MarshalJSON() ([]byte, error) { return json.Marshal(s.wire()) }

// MarshalJSON returns the difference as in a response of the operators' API.
func (d Difference) MarshalJSON() ([]byte, error) { return json.Marshal(newDifferenceWire(d)) }
