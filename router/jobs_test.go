package router_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filberthaven.example/admitter"
	"filberthaven.example/placer"
	"filberthaven.example/router"
	qt "github.com/frankban/quicktest"
)

// acceptedJob is the response to an accepted job.
type acceptedJob struct {
	ID        string `json:"id"`
	Duplicate bool   `json:"duplicate"`
}

// submitJob submits a job that must be accepted.
func submitJob(c *qt.C, g *gateway, team, body string) acceptedJob {
	c.Helper()
	got := g.call(c, team, http.MethodPost, "/v1/jobs", body)
	c.Assert(got.status/100, qt.Equals, 2, qt.Commentf("%s", got.body))
	c.Assert(got.header.Get(router.OutcomeHeader), qt.Equals, "ran")
	var accepted acceptedJob
	c.Assert(json.Unmarshal([]byte(got.body), &accepted), qt.IsNil)
	return accepted
}

func TestSubmit(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	accepted := submitJob(c, g, "cremona", `{"tasks":3,"cpu":0.5,"memory":256,"accelerators":1,"class":"deferred",
		"within":"2h","gang":true,"idempotent":false,"estimate":"90s","queue":"default","name":"rebuild","rack":"r1","spread":true}`)
	spec := g.jobs[accepted.ID].Spec()
	c.Assert(spec.Team(), qt.Equals, "cremona")
	c.Assert(spec.Tasks(), qt.Equals, 3)
	c.Assert(spec.Size(), qt.Equals, placer.NewResources(500, 256, 1))
	c.Assert(spec.Class(), qt.Equals, placer.Deferred)
	c.Assert(spec.Gang(), qt.IsTrue)
	c.Assert(spec.Idempotent(), qt.IsFalse)
	c.Assert(spec.Estimate(), qt.Equals, 90*time.Second)
	c.Assert(spec.Deadline().Sub(spec.SubmittedAt()), qt.Equals, 2*time.Hour)
	c.Assert(spec.Constraints(), qt.Equals, placer.NewConstraints("r1", true))

	c.Run("repeated request id returns the first job", func(c *qt.C) {
		first := submitJob(c, g, "cremona", `{"cpu":1,"request":"order-7"}`)
		second := submitJob(c, g, "cremona", `{"cpu":1,"request":"order-7"}`)
		c.Assert(first.Duplicate, qt.IsFalse)
		c.Assert(second, qt.Equals, acceptedJob{ID: first.ID, Duplicate: true})
	})
	c.Run("open queue needs no key", func(c *qt.C) {
		accepted := submitJob(c, g, "", `{"cpu":1,"queue":"walkin"}`)
		c.Assert(g.jobs[accepted.ID].Spec().Team(), qt.Equals, router.AnonymousTeam)
	})
	c.Run("store down", func(c *qt.C) {
		got := g.call(c, "cremona", http.MethodPost, "/v1/jobs", `{"cpu":1,"request":"store-down"}`)
		assertProblem(c, got, http.StatusServiceUnavailable, "unavailable", router.NotRun)
	})
}

func TestSubmitRefused(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t, router.WithJobCheck(func(spec placer.JobSpec) error {
		if spec.Tasks() == 99_999 {
			return admitter.NewRefusal(admitter.Permanent, "gang", "the gang is larger than the fleet", 0)
		}
		return nil
	}))
	for _, test := range []struct {
		name, team, body string
		status           int
		code             string
	}{
		{"empty", "cremona", ``, 415, "media"},
		{"not json", "cremona", `cpu=1`, 400, "json"},
		{"unknown field", "cremona", `{"cpu":1,"color":"red"}`, 400, "json"},
		{"wrong type", "cremona", `{"cpu":"1"}`, 400, "json"},
		{"array", "cremona", `[{"cpu":1}]`, 400, "json"},
		{"null", "cremona", `null`, 422, "invalid"},
		{"trailing data", "cremona", `{"cpu":1}{"cpu":1}`, 400, "json"},
		{"not utf-8", "cremona", "{\"cpu\":1,\"name\":\"\xff\"}", 400, "json"},
		{"no resources", "cremona", `{}`, 422, "invalid"},
		{"negative cpu", "cremona", `{"cpu":-1}`, 422, "invalid"},
		{"negative memory", "cremona", `{"cpu":1,"memory":-1}`, 422, "invalid"},
		{"negative accelerators", "cremona", `{"cpu":1,"accelerators":-1}`, 422, "invalid"},
		{"huge cpu", "cremona", `{"cpu":1e300}`, 422, "invalid"},
		{"infinite cpu", "cremona", `{"cpu":1e999}`, 400, "json"},
		{"nan", "cremona", `{"cpu":NaN}`, 400, "json"},
		{"huge memory", "cremona", `{"memory":99999999999999999999}`, 400, "json"},
		{"fraction of memory", "cremona", `{"memory":1.5}`, 400, "json"},
		{"no tasks", "cremona", `{"cpu":1,"tasks":0}`, 422, "invalid"},
		{"too many tasks", "cremona", `{"cpu":1,"tasks":100001}`, 422, "invalid"},
		{"class", "cremona", `{"cpu":1,"class":"vip"}`, 422, "invalid"},
		{"two deadlines", "cremona", `{"cpu":1,"within":"1h","deadline":"2030-01-01T00:00:00Z"}`, 422, "invalid"},
		{"negative duration", "cremona", `{"cpu":1,"within":"-1h"}`, 400, "json"},
		{"number as duration", "cremona", `{"cpu":1,"within":60}`, 400, "json"},
		{"control character", "cremona", `{"cpu":1,"name":"a\nb"}`, 422, "invalid"},
		{"long name", "cremona", `{"cpu":1,"name":"` + strings.Repeat("a", 129) + `"}`, 422, "invalid"},
		{"large body", "cremona", `{"name":"` + strings.Repeat("a", router.MaxJobBytes) + `"}`, 413, "large"},
		{"unknown queue", "cremona", `{"cpu":1,"queue":"vip"}`, 422, "queue"},
		{"can never run", "cremona", `{"cpu":1,"tasks":99999}`, 422, "gang"},
		{"no key", "", `{"cpu":1}`, 401, "key"},
		{"wrong key", "nobody", `{"cpu":1,"queue":"walkin"}`, 401, "key"},
	} {
		c.Run(test.name, func(c *qt.C) {
			got := g.call(c, test.team, http.MethodPost, "/v1/jobs", test.body)
			assertProblem(c, got, test.status, test.code, router.NotRun)
			c.Assert(g.jobs, qt.HasLen, 0)
		})
	}
}

func TestJobQueries(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	id := submitJob(c, g, "cremona", `{"cpu":1,"tasks":2}`).ID

	c.Run("own job", func(c *qt.C) {
		got := g.call(c, "cremona", http.MethodGet, "/v1/jobs/"+id, "")
		c.Assert(got.status, qt.Equals, http.StatusOK)
		c.Assert(got.body, qt.Contains, `"pending":2`)
	})
	for _, path := range []string{"/v1/jobs/" + id, "/v1/jobs/" + id + "/wait?timeout=1ms", "/v1/jobs/" + id + "/explain"} {
		c.Run("another team's job looks absent "+strings.TrimPrefix(path, "/v1/jobs/"+id), func(c *qt.C) {
			other := g.call(c, "mantova", http.MethodGet, path, "")
			absent := g.call(c, "mantova", http.MethodGet, strings.Replace(path, id, "absent", 1), "")
			assertProblem(c, other, http.StatusNotFound, "absent", router.NotRun)
			c.Assert(other.body, qt.Equals, absent.body)
		})
	}
	c.Run("cancel another team's job", func(c *qt.C) {
		assertProblem(c, g.call(c, "mantova", http.MethodDelete, "/v1/jobs/"+id, ""), http.StatusNotFound, "absent", router.NotRun)
	})
	c.Run("pages", func(c *qt.C) {
		for range 4 {
			submitJob(c, g, "mantova", `{"cpu":1}`)
		}
		seen, after := map[string]bool{}, ""
		for range 3 {
			got := g.call(c, "mantova", http.MethodGet, "/v1/jobs?limit=2&after="+after, "")
			var page struct {
				Jobs []struct{ ID, Team string }
				Next string
			}
			c.Assert(json.Unmarshal([]byte(got.body), &page), qt.IsNil)
			for _, job := range page.Jobs {
				c.Assert(job.Team, qt.Equals, "mantova")
				seen[job.ID] = true
			}
			if after = page.Next; after == "" {
				break
			}
		}
		c.Assert(seen, qt.HasLen, 4)
		assertProblem(c, g.call(c, "mantova", http.MethodGet, "/v1/jobs?limit=0", ""), http.StatusBadRequest, "parameter", router.NotRun)
	})
	c.Run("wait continues through another entry VM", func(c *qt.C) {
		other := newGateway(t)
		other.keys, other.jobs = g.keys, g.jobs
		got := g.call(c, "cremona", http.MethodGet, "/v1/jobs/"+id+"/wait?timeout=1ms", "")
		c.Assert(got.body, qt.Contains, `"terminal":false`)
		g.finish(id)
		got = g.call(c, "cremona", http.MethodGet, "/v1/jobs/"+id+"/wait?timeout=20s", "")
		c.Assert(got.body, qt.Contains, `"terminal":true`)
	})
}

func TestSlowBody(t *testing.T) {
	c := qt.New(t)
	g := newGateway(t)
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/v1/jobs", timedOutReader{})
	request.Header.Set("Authorization", "Bearer "+g.keys["cremona"])
	request.Header.Set("Content-Type", "application/json")
	g.ServeHTTP(recorder, request)
	c.Assert(recorder.Code, qt.Equals, http.StatusRequestTimeout)
	c.Assert(g.jobs, qt.HasLen, 0)
}

// FuzzSubmit checks that the response to any body is a 2xx or a 4xx, and that only a 2xx
// accepts a job, which is then valid.
func FuzzSubmit(f *testing.F) {
	for _, body := range []string{
		`{"cpu":1}`, `{"cpu":1e-9,"tasks":1}`, `{"memory":-1}`, `{"cpu":1,"within":"1h"}`, `{"cpu":1} `, `[]`, "\x00",
		`{"cpu":1,"deadline":"2030-01-01T00:00:00Z","gang":true}`, `{"cpu":1,"cpu":-1}`, `{"CPU":2}`,
	} {
		f.Add(body)
	}
	g := newGateway(f)
	f.Fuzz(func(t *testing.T, body string) {
		clear(g.jobs)
		request := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+g.keys["cremona"])
		request.Header.Set("Content-Type", "application/json")
		recorder := httptest.NewRecorder()
		g.ServeHTTP(recorder, request)
		c := qt.New(t)
		c.Assert(recorder.Code >= 200 && recorder.Code < 500, qt.IsTrue, qt.Commentf("%d %s", recorder.Code, recorder.Body))
		if recorder.Code >= 300 {
			c.Assert(recorder.Header().Get(router.OutcomeHeader), qt.Equals, string(router.NotRun))
			c.Assert(g.jobs, qt.HasLen, 0)
			return
		}
		for _, job := range g.jobs {
			spec := job.Spec()
			c.Assert(spec.Size().IsValid() && !spec.Size().IsZero(), qt.IsTrue)
			c.Assert(spec.Tasks() >= 1, qt.IsTrue)
			c.Assert(spec.Class().String(), qt.Not(qt.Equals), "")
		}
	})
}
