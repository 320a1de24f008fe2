package configurer

import (
	"context"
	"fmt"
	"strings"

	"filberthaven.example/loader"
)

func (h *Handler) apply(c call[applyRequest]) (changeWire, error) {
	if err := checkReason(c.request.Reason); err != nil {
		return changeWire{}, err
	}
	document, err := c.request.Files.parse()
	if err != nil {
		return changeWire{}, err
	}
	revision, err := h.writer.Apply(c.ctx, c.request.Revision, document, c.caller.name, c.request.Reason)
	return h.changeResponse(c.ctx, revision, err)
}

func (h *Handler) rollback(c call[rollbackRequest]) (changeWire, error) {
	if err := checkReason(c.request.Reason); err != nil {
		return changeWire{}, err
	}
	revision, err := h.writer.Rollback(c.ctx, c.request.Revision, c.request.To, c.caller.name, c.request.Reason)
	return h.changeResponse(c.ctx, revision, err)
}

// checkReason refuses a change without a written reason.
func checkReason(reason string) error {
	if strings.TrimSpace(reason) == "" {
		return fmt.Errorf("%w: %w", ErrRequest, ErrReason)
	}
	return nil
}

// change applies a direct command of the caller to the newest document.
func (h *Handler) change(ctx context.Context, caller Caller, reason string, edit func(*Document) (*Document, error)) (changeWire, error) {
	if err := checkReason(reason); err != nil {
		return changeWire{}, err
	}
	revision, err := h.writer.Change(ctx, caller.name, reason, edit)
	return h.changeResponse(ctx, revision, err)
}

// checkTarget refuses a request that doesn't name either a data centre or a VM, or that
// declares a VM lost.
func (r stateRequest) checkTarget() error {
	if (r.Centre == "") == (r.VM == "") {
		return fmt.Errorf("%w: want either a centre or a vm", ErrRequest)
	}
	if r.Lost && r.VM != "" {
		return fmt.Errorf("%w: only a data centre is declared lost", ErrRequest)
	}
	return nil
}

func (h *Handler) drain(c call[stateRequest]) (changeWire, error) {
	request := c.request
	if err := request.checkTarget(); err != nil {
		return changeWire{}, err
	}
	state := OutOfService
	if request.Lost {
		state = Lost
	}
	return h.change(c.ctx, c.caller, request.Reason, func(d *Document) (*Document, error) {
		if request.VM != "" {
			return d.withVM(request.VM, request.Reason)
		}
		return d.withCentre(request.Centre, state, request.Reason)
	})
}

func (h *Handler) returnToService(c call[stateRequest]) (changeWire, error) {
	request := c.request
	if err := request.checkTarget(); err != nil {
		return changeWire{}, err
	}
	return h.change(c.ctx, c.caller, request.Reason, func(d *Document) (*Document, error) {
		if request.VM != "" {
			return d.withoutVM(request.VM)
		}
		return d.withCentre(request.Centre, InService, "")
	})
}

func (h *Handler) withdraw(c call[withdrawRequest]) (changeWire, error) {
	request := c.request
	return h.change(c.ctx, c.caller, request.Reason, func(d *Document) (*Document, error) {
		return d.withKeyWithdrawn(request.Key, request.Reason)
	})
}

func (h *Handler) grant(c call[grantRequest]) (changeWire, error) {
	request := c.request
	hash, err := loader.SHA256(request.Hash)
	if err != nil {
		return changeWire{}, fmt.Errorf("%w: hash: %w", ErrRequest, err)
	}
	key := Key{id: request.Key, hash: hash, team: request.Team, role: Role(request.Role), expires: request.Expires, note: request.Note}
	if key.role != NoRole && key.role != Operator && key.role != Viewer {
		return changeWire{}, fmt.Errorf("%w: role: want %s or %s", ErrRequest, Operator, Viewer)
	}
	return h.change(c.ctx, c.caller, request.Reason, func(d *Document) (*Document, error) {
		next, err := d.withKey(key)
		if err != nil || request.Replaces == "" {
			return next, err
		}
		return next.withKeyExpiry(request.Replaces, request.Until)
	})
}

func (h *Handler) limit(c call[limitRequest]) (changeWire, error) {
	request := c.request
	exception, err := request.exception(c.caller.name)
	if err != nil {
		return changeWire{}, err
	}
	return h.change(c.ctx, c.caller, request.Reason, func(d *Document) (*Document, error) {
		if request.Value == "" {
			return d.withoutException(exception.name)
		}
		return d.withException(exception)
	})
}

// exception returns the exception that the request sets, named after its key and team.
func (r limitRequest) exception(author string) (Exception, error) {
	e := Exception{
		name: r.Key + "-" + r.Team, scope: scope{"team", r.Team}, key: r.Key,
		reason: r.Reason, author: author, expires: r.Expires,
	}
	if r.Key != "limit" && r.Key != "slots" {
		return e, fmt.Errorf("%w: key: want limit or slots: %q", ErrRequest, r.Key)
	}
	if _, err := loader.Word(e.name); err != nil {
		return e, fmt.Errorf("%w: team: %w", ErrRequest, err)
	}
	for _, key := range valueKeys {
		if key.name != r.Key || r.Value == "" {
			continue
		}
		if err := key.parse(&e.values, r.Value); err != nil {
			return e, fmt.Errorf("%w: value: %w", ErrRequest, err)
		}
	}
	return e, nil
}
