package server

import (
	"context"
	"errors"
	"fmt"
	"sort"

	"filberthaven.example/placer"
	"filberthaven.example/router"
	"filberthaven.example/scheduler"
)

// jobs binds the callers' calls on jobs to the owners of shards.
func (s *Server) jobs() router.Jobs {
	return router.Jobs{
		Submit:  s.submitJob,
		Get:     s.getJob,
		List:    s.listJobs,
		Cancel:  s.cancelJob,
		Wait:    s.waitJob,
		Explain: s.explainJob,
	}
}

// submitJob sends a job to its home shard if it has a request id, otherwise to
// the nearest data centre in service. It goes on while shards change their owners;
// a call without an answer is repeated only under a request id.
func (s *Server) submitJob(ctx context.Context, spec placer.JobSpec, request string) (id string, duplicate bool, err error) {
	spec = s.paid(spec)
	shards := s.nearShards(spec)
	mayRepeat := func(err error) bool { return errors.Is(err, scheduler.ErrNotOwner) }
	if request != "" {
		shards, mayRepeat = nil, mayRepeatClaim
		if home, ok := s.homeShard(spec.Team(), request); ok {
			shards = []string{home}
		}
	}
	err = retryOwner(ctx, mayRepeat, func() (err error) {
		id, duplicate, err = s.submitTo(ctx, shards, spec, request)
		return err
	})
	if err != nil {
		s.decisions.Info("job not accepted", "team", spec.Team(), "request", request, "error", err)
	}
	return id, duplicate, callError(err)
}

// submitTo sends a job to the first of the shards that accepts it.
func (s *Server) submitTo(ctx context.Context, shards []string, spec placer.JobSpec, request string) (string, bool, error) {
	err := fmt.Errorf("%w: no data centre in service", scheduler.ErrNotRun)
	for _, shard := range shards {
		var receipt scheduler.Receipt
		receipt, err = s.client.Submit(ctx, shard, spec, request)
		if err == nil {
			s.decisions.Info("job sent to shard", "job", receipt.JobID(), "shard", shard, "home", request != "")
			return receipt.JobID(), !receipt.Created(), nil
		}
		s.decisions.Debug("job not accepted", "shard", shard, "team", spec.Team(), "error", err)
		if !errors.Is(err, scheduler.ErrNotRun) && !errors.Is(err, scheduler.ErrNotOwner) {
			break
		}
	}
	return "", false, err
}

// nearShards returns the shards of data centres in service, those of the own one
// first, and within each data centre in an order of the job's own.
func (s *Server) nearShards(spec placer.JobSpec) []string {
	var shards []string
	for _, centre := range s.centreNames() {
		if !s.inService(centre) {
			continue
		}
		own := s.centreShards(centre)
		if len(own) > 1 {
			first := rackShard(spec.ID(), own)
			sort.SliceStable(own, func(i, j int) bool { return own[i] == first && own[j] != first })
		}
		shards = append(shards, own...)
	}
	return shards
}

// transferTarget returns where a job goes that leaves a shard.
func (s *Server) transferTarget(from string) func(placer.JobSpec) (string, bool) {
	return func(spec placer.JobSpec) (string, bool) {
		for _, shard := range s.nearShards(spec) {
			if shard == from {
				continue
			}
			if _, ok := s.elector.Owner(shard); ok {
				return shard, true
			}
		}
		return "", false
	}
}

func (s *Server) getJob(ctx context.Context, team, id string) (router.Job, error) {
	status, err := s.client.Job(ctx, id)
	return s.teamJob(team, status, err)
}

func (s *Server) cancelJob(ctx context.Context, team, id string) (router.Job, error) {
	if _, err := s.getJob(ctx, team, id); err != nil {
		return router.Job{}, err
	}
	if err := s.client.Cancel(ctx, id); err != nil {
		return router.Job{}, callError(err)
	}
	return s.getJob(ctx, team, id)
}

func (s *Server) waitJob(ctx context.Context, team, id string) (router.Job, error) {
	if _, err := s.getJob(ctx, team, id); err != nil && !errors.Is(err, router.ErrUnavailable) {
		return router.Job{}, err
	}
	status, err := s.client.Wait(ctx, id)
	if err != nil && ctx.Err() != nil {
		return s.getJob(context.WithoutCancel(ctx), team, id)
	}
	return s.teamJob(team, status, err)
}

func (s *Server) explainJob(ctx context.Context, team, id string) (string, error) {
	if _, err := s.getJob(ctx, team, id); err != nil {
		return "", err
	}
	reason, err := s.client.Explain(ctx, id)
	return reason, callError(err)
}

// listJobs returns one page over all shards, in order of id.
func (s *Server) listJobs(ctx context.Context, team, after string, limit int) ([]router.Job, string, error) {
	var all []scheduler.Status
	for _, shard := range s.allShards() {
		page, err := s.client.List(ctx, shard, team, after, limit+1)
		if err != nil {
			return nil, "", callError(err)
		}
		all = append(all, page...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID() < all[j].ID() })
	next := ""
	if len(all) > limit {
		all = all[:limit]
		next = all[limit-1].ID()
	}
	list := make([]router.Job, 0, len(all))
	for _, status := range all {
		list = append(list, callerJob(status))
	}
	return list, next, nil
}

// teamJob returns a job if the team may see it; another team's job is not found.
func (s *Server) teamJob(team string, status scheduler.Status, err error) (router.Job, error) {
	if err != nil {
		return router.Job{}, callError(err)
	}
	if !s.mayCall(team, status.Spec()) {
		return router.Job{}, router.ErrNotFound
	}
	return callerJob(status), nil
}

// callError returns the router's error for one of the scheduler.
func callError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, scheduler.ErrNotFound):
		return router.ErrNotFound
	case errors.Is(err, scheduler.ErrRequestIDReused):
		return errors.Join(router.ErrConflict, err)
	case errors.Is(err, scheduler.ErrRefused):
		return errors.Join(router.ErrInvalid, err)
	case errors.Is(err, scheduler.ErrNotRun), errors.Is(err, scheduler.ErrNotOwner):
		return errors.Join(router.ErrUnavailable, err)
	case errors.Is(err, scheduler.ErrOutcomeUnknown):
		return errors.Join(router.ErrOutcomeUnknown, err)
	}
	return err
}

// callerJob returns a job as its team sees it.
func callerJob(status scheduler.Status) router.Job {
	pending := max(status.Tasks()-status.Running()-status.Ended(), 0)
	counts := router.NewTaskCounts(pending, status.Running(), status.Done(), status.Failed(), status.Lost())
	return router.NewJob(status.Spec(), status.State().String(), status.State().Final(), counts, "")
}
