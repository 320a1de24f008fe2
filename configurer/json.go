package configurer

import "encoding/json"

// MarshalJSON returns the plan as the operators' API answers it.
func (p Plan) MarshalJSON() ([]byte, error) { return json.Marshal(newPlanWire(p)) }

// MarshalJSON returns the change as the operators' API answers it.
func (a Accepted) MarshalJSON() ([]byte, error) {
	return json.Marshal(changeWire{Revision: a.revision, Everywhere: a.everywhere, Force: newHoldingWires(a.holdings)})
}

// MarshalJSON returns the revision as the operators' API answers it.
func (s Summary) MarshalJSON() ([]byte, error) { return json.Marshal(s.wire()) }

// MarshalJSON returns the difference as the operators' API answers it.
func (d Difference) MarshalJSON() ([]byte, error) { return json.Marshal(newDifferenceWire(d)) }
