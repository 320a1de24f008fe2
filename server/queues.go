package server

import (
	"net/http"

	"filberthaven.example/placer"
	"filberthaven.example/router"
)

// queuePolicy reports whether a queue is declared, and whether it is open to callers
// without a key.
func (s *Server) queuePolicy(name string) (open, ok bool) {
	document := s.copy.Current()
	if document == nil {
		return false, false
	}
	queue, ok := document.Queue(name)
	return queue.Open(), ok
}

// checkQueue returns an error if the job's team may not use the job's queue.
func (s *Server) checkQueue(spec placer.JobSpec) error {
	document := s.copy.Current()
	if document == nil {
		return router.ErrUnavailable
	}
	queue, ok := document.Queue(spec.Queue())
	if ok && (queue.Admits(spec.Team()) || spec.Team() == router.AnonymousTeam && queue.Open()) {
		return nil
	}
	return router.NewProblem(http.StatusForbidden, "queue", "the team may not use this queue")
}

// assignTeam returns the job with the team whose share and limit it counts against. A
// job that is submitted to an open queue without a key counts for the queue's owner.
func (s *Server) assignTeam(spec placer.JobSpec) placer.JobSpec {
	if spec.Team() != router.AnonymousTeam {
		return spec
	}
	if owner, ok := s.queueOwner(spec.Queue()); ok {
		return spec.ForTeam(owner)
	}
	return spec
}

// queueOwner returns the team that jobs without a key in an open queue count for.
func (s *Server) queueOwner(name string) (string, bool) {
	document := s.copy.Current()
	if document == nil {
		return "", false
	}
	queue, ok := document.Queue(name)
	return queue.Owner(), ok && queue.Owner() != ""
}

// mayAccess reports whether a team may see and cancel a job. A team may access its own
// jobs; callers without a key may access the jobs in an open queue that count for the
// queue's owner.
func (s *Server) mayAccess(team string, spec placer.JobSpec) bool {
	if team != router.AnonymousTeam {
		return team == spec.Team()
	}
	owner, ok := s.queueOwner(spec.Queue())
	return ok && owner == spec.Team()
}
