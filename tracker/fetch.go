package tracker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/samber/oops"
	"github.com/tidwall/gjson"
)

// listResponse is the platform's response with the VMs that changed.
type listResponse struct {
	Revision uint64     `json:"revision"`
	VMs      []vmRecord `json:"vms"`
}

// errBadList means that a response is no list of VMs.
var errBadList = errors.New("response is no list of VMs")

// decodeList decodes a response. VMs that can't be decoded are left out, and skipped is
// called with the error. The others are found without a look into these, which may be
// nested more deeply than a decoder accepts.
func decodeList(body []byte, skipped func(error)) (listResponse, error) {
	document := gjson.ParseBytes(body)
	revision := document.Get("revision")
	if !document.IsObject() || revision.Type != gjson.Number || !isComplete(body) {
		return listResponse{}, errBadList
	}
	list := listResponse{Revision: revision.Uint()}
	for _, vm := range document.Get("vms").Array() {
		var record vmRecord
		if err := json.Unmarshal([]byte(vm.Raw), &record); err != nil {
			skipped(fmt.Errorf("%w: %w", ErrBadVM, err))
			continue
		}
		list.VMs = append(list.VMs, record)
	}
	return list, nil
}

// isComplete reports whether all brackets of a JSON text are closed. Unlike a decoder it takes
// any depth.
func isComplete(text []byte) bool {
	depth, inString, escaped := 0, false, false
	for _, b := range text {
		switch {
		case escaped:
			escaped = false
		case inString:
			inString, escaped = b != '"', b == '\\'
		case b == '"':
			inString = true
		case b == '{' || b == '[':
			depth++
		case b == '}' || b == ']':
			depth--
		}
	}
	return depth == 0 && !inString
}

// skipVM logs that a VM of the list is left out.
func (t *Tracker) skipVM(err error) { t.logger.Error("invalid VM entry skipped", "error", err) }

// fetch requests the changes of the list and applies them. If the request fails,
// the copy of the list stays as it is.
func (t *Tracker) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := t.requestChanges(ctx, t.list.lastRevision())
	if err != nil {
		if ctx.Err() == nil {
			t.logger.Warn("request of the list of VMs failed", "error", err)
		}
		return
	}
	t.mu.Lock()
	t.fetchedAt = t.now()
	t.mu.Unlock()
	t.apply(response)
}

// requestChanges requests the changes after a revision from the platform.
func (t *Tracker) requestChanges(ctx context.Context, after uint64) (listResponse, error) {
	var changes listResponse
	url := t.platform + "/v1/vms?after=" + strconv.FormatUint(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return changes, oops.Wrapf(err, "request the list of VMs")
	}
	response, err := t.client.Do(request)
	if err != nil {
		return changes, oops.Wrapf(err, "request the list of VMs")
	}
	defer response.Body.Close() //nolint:errcheck // The response was read or abandoned.
	if response.StatusCode != http.StatusOK {
		return changes, fmt.Errorf("list of VMs: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxListBytes))
	if err != nil {
		return changes, oops.Wrapf(err, "read the list of VMs")
	}
	return decodeList(body, t.skipVM)
}

// apply updates the copy of the list with a response and notifies the
// subscribers. Invalid entries are skipped.
func (t *Tracker) apply(response listResponse) {
	vms := make([]VM, 0, len(response.VMs))
	for _, record := range response.VMs {
		vm, err := record.vm()
		if err != nil {
			t.skipVM(err)
			continue
		}
		vms = append(vms, vm)
	}
	changed := t.list.apply(vms, response.Revision)
	if len(changed) == 0 {
		return
	}
	for _, vm := range changed {
		t.logger.Info("vm changed", "vm", vm.id, "role", vm.role, "state", vm.state, "incarnation", vm.incarnation)
	}
	t.notify(changed)
}

// notify calls the subscribers with the VMs that changed.
func (t *Tracker) notify(changed []VM) {
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
