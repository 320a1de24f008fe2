package server

import (
	"net/http"

	"filberthaven.example/placer"
	"filberthaven.example/router"
)

// queuePolicy returns whether a queue is declared, and open to all.
func (s *Server) queuePolicy(name string) (open, ok bool) {
	document := s.copy.Current()
	if document == nil {
		return false, false
	}
	queue, ok := document.Queue(name)
	return queue.Open(), ok
}

// checkQueue refuses a job whose team may not use its queue.
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

// paid returns the job under the team that it counts for: on an open queue a job
// without a key counts for the queue's own team.
func (s *Server) paid(spec placer.JobSpec) placer.JobSpec {
	if spec.Team() != router.AnonymousTeam {
		return spec
	}
	if owner, ok := s.queueOwner(spec.Queue()); ok {
		return spec.ForTeam(owner)
	}
	return spec
}

// queueOwner returns the team that an open queue's work counts for.
func (s *Server) queueOwner(name string) (string, bool) {
	document := s.copy.Current()
	if document == nil {
		return "", false
	}
	queue, ok := document.Queue(name)
	return queue.Owner(), ok && queue.Owner() != ""
}

// mayCall reports whether a team may see and cancel a job: its own, or without a
// key one that came through an open queue.
func (s *Server) mayCall(team string, spec placer.JobSpec) bool {
	if team != router.AnonymousTeam {
		return team == spec.Team()
	}
	owner, ok := s.queueOwner(spec.Queue())
	return ok && owner == spec.Team()
}
