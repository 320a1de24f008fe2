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

// jobs returns the functions through which the router reaches the owners of shards.
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

// submitJob sends a job to the home shard of its request id, or, without one, to the
// first of the preferred shards that accepts it. It retries while a shard changes its
// owner. A call whose outcome is unknown is repeated only with a request id, since
// without one the job could be accepted twice.
func (s *Server) submitJob(ctx context.Context, spec placer.JobSpec, request string) (id string, duplicate bool, err error) {
	spec = s.assignTeam(spec)
	shards := s.preferredShards(spec)
	retryable := func(err error) bool { return errors.Is(err, scheduler.ErrNotOwner) }
	if request != "" {
		shards, retryable = nil, isRetryableWithID
		if home, ok := s.homeShard(spec.Team(), request); ok {
			shards = []string{home}
		}
	}
	err = retryOwner(ctx, retryable, func() (err error) {
		id, duplicate, err = s.submitTo(ctx, shards, spec, request)
		return err
	})
	if err != nil {
		s.log.Info("job not accepted", "team", spec.Team(), "request", request, "error", err)
	}
	return id, duplicate, routerError(err)
}

// submitTo offers a job to the shards in order until one accepts it, refuses it or may
// have accepted it.
func (s *Server) submitTo(ctx context.Context, shards []string, spec placer.JobSpec, request string) (string, bool, error) {
	err := fmt.Errorf("%w: no data centre in service", scheduler.ErrNotRun)
	for _, shard := range shards {
		var receipt scheduler.Receipt
		receipt, err = s.client.Submit(ctx, shard, spec, request)
		if err == nil {
			s.log.Info("job sent to shard", "job", receipt.JobID(), "shard", shard, "home", request != "")
			return receipt.JobID(), !receipt.Created(), nil
		}
		s.log.Debug("job not accepted by shard", "shard", shard, "team", spec.Team(), "error", err)
		if !errors.Is(err, scheduler.ErrNotRun) && !errors.Is(err, scheduler.ErrNotOwner) {
			break
		}
	}
	return "", false, err
}

// preferredShards returns the shards of the data centres in service, beginning with
// this VM's data centre. In each data centre, the shard to which the job's id hashes
// comes first, which spreads jobs over the shards.
func (s *Server) preferredShards(spec placer.JobSpec) []string {
	var shards []string
	for _, centre := range s.centreNames() {
		if !s.inService(centre) {
			continue
		}
		local := s.centreShards(centre)
		if len(local) > 1 {
			first := shardFor(spec.ID(), local)
			sort.SliceStable(local, func(i, j int) bool { return local[i] == first && local[j] != first })
		}
		shards = append(shards, local...)
	}
	return shards
}

// transferTarget returns the function that chooses the target of a job that moves away
// from a shard: the first other preferred shard that has an owner.
func (s *Server) transferTarget(from string) func(placer.JobSpec) (string, bool) {
	return func(spec placer.JobSpec) (string, bool) {
		for _, shard := range s.preferredShards(spec) {
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
		return router.Job{}, routerError(err)
	}
	return s.getJob(ctx, team, id)
}

// waitJob returns a job after it has ended, or in its present state when ctx ends first.
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
	return reason, routerError(err)
}

// listJobs returns one page of a team's jobs in all shards, in order of id: at most limit
// jobs with ids above afterID. It also returns the last id of the page, which is empty if
// no jobs follow.
func (s *Server) listJobs(ctx context.Context, team, afterID string, limit int) ([]router.Job, string, error) {
	var all []scheduler.Status
	for _, shard := range s.allShards() {
		page, err := s.client.List(ctx, shard, team, afterID, limit+1)
		if err != nil {
			return nil, "", routerError(err)
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
		list = append(list, routerJob(status))
	}
	return list, next, nil
}

// teamJob converts the result of a client's call for the router. It returns
// router.ErrNotFound if the team may not access the job.
func (s *Server) teamJob(team string, status scheduler.Status, err error) (router.Job, error) {
	if err != nil {
		return router.Job{}, routerError(err)
	}
	if !s.mayAccess(team, status.Spec()) {
		return router.Job{}, router.ErrNotFound
	}
	return routerJob(status), nil
}

// routerError returns the router's error for an error of the scheduler.
func routerError(err error) error {
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

// routerJob converts the status of a job for the router.
func routerJob(status scheduler.Status) router.Job {
	pending := max(status.Tasks()-status.Running()-status.Ended(), 0)
	counts := router.NewTaskCounts(pending, status.Running(), status.Done(), status.Failed(), status.Lost())
	return router.NewJob(status.Spec(), status.State().String(), status.State().Final(), counts, "")
}
