package tracker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/samber/oops"
)

// listAnswer is the platform's answer.
type listAnswer struct {
	Revision uint64     `json:"revision"`
	VMs      []vmRecord `json:"vms"`
}

// fetch reads the changes of the list. A failure leaves the copy as it is.
func (t *Tracker) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := t.read(ctx, t.list.after())
	if err != nil {
		if ctx.Err() == nil {
			t.logger.Warn("list of VMs not read", "error", err)
		}
		return
	}
	t.mu.Lock()
	t.fetched = t.now()
	t.mu.Unlock()
	t.apply(answer)
}

// read asks the platform for the changes after a revision.
func (t *Tracker) read(ctx context.Context, after uint64) (listAnswer, error) {
	var answer listAnswer
	url := t.platform + "/v1/vms?after=" + strconv.FormatUint(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return answer, oops.Wrapf(err, "ask for the list of VMs")
	}
	response, err := t.client.Do(request)
	if err != nil {
		return answer, oops.Wrapf(err, "ask for the list of VMs")
	}
	defer response.Body.Close() //nolint:errcheck // The answer was read or given up.
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("list of VMs: status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, answerLimit)).Decode(&answer)
	return answer, oops.Wrapf(err, "decode the list of VMs")
}

// apply takes over an answer and tells the subscribers. Entries that make no
// sense are left out.
func (t *Tracker) apply(answer listAnswer) {
	vms := make([]VM, 0, len(answer.VMs))
	for _, record := range answer.VMs {
		vm, err := record.vm()
		if err != nil {
			t.logger.Error("entry left out", "error", err)
			continue
		}
		vms = append(vms, vm)
	}
	changed := t.list.apply(vms, answer.Revision)
	if len(changed) == 0 {
		return
	}
	for _, vm := range changed {
		t.logger.Info("vm changed", "vm", vm.id, "role", vm.role, "state", vm.presence, "incarnation", vm.incarnation)
	}
	t.publish(changed)
}

// publish tells the subscribers.
func (t *Tracker) publish(changed []VM) {
	t.mu.Lock()
	subscribers := make([]func([]VM), 0, len(t.subscribers))
	for _, subscriber := range t.subscribers {
		subscribers = append(subscribers, subscriber)
	}
	t.mu.Unlock()
	for _, subscriber := range subscribers {
		subscriber(changed)
	}
}
