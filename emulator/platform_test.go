package emulator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// newPlatform starts a platform and returns it with its URL and a client of its store.
func newPlatform(c *qt.C, store *emulator.Store, options ...emulator.PlatformOption) (*emulator.Platform, string, keeper.Store) {
	c.Helper()
	p := emulator.NewPlatform(store, options...)
	server := httptest.NewServer(p)
	c.Cleanup(server.Close)
	client, err := keeper.New(server.URL, keeper.WithName("a"))
	c.Assert(err, qt.IsNil)
	return p, server.URL, client.Store()
}

// post sends a body and asserts that the request succeeds.
func post(c *qt.C, url, body string) {
	c.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}

func TestPlatformKeys(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	_, url, kv := newPlatform(c, emulator.NewStore(emulator.WithWatchTimeout(200*time.Millisecond)))

	c.Run("all calls on keys", func(c *qt.C) {
		version, err := kv.Put(ctx, "live/a", []byte{0, 255}, 0, 0)
		c.Assert(err, qt.IsNil)
		entry, err := kv.Get(ctx, "live/a")
		c.Assert(err, qt.IsNil)
		c.Assert(entry.Value(), qt.DeepEquals, []byte{0, 255})
		c.Assert(entry.Version(), qt.Equals, version)
		entries, err := kv.List(ctx, "live/")
		c.Assert(err, qt.IsNil)
		c.Assert(entries, qt.HasLen, 1)
		entries, next, err := kv.Watch(ctx, "live/", 0)
		c.Assert(err, qt.IsNil)
		c.Assert(entries, qt.HasLen, 1)
		c.Assert(kv.Delete(ctx, "live/a", version), qt.IsNil)
		entries, _, err = kv.Watch(ctx, "live/", next)
		c.Assert(err, qt.IsNil)
		c.Assert(entries[0].Deleted(), qt.IsTrue)
	})
	c.Run("leases", func(c *qt.C) {
		id, err := kv.Grant(ctx, time.Minute)
		c.Assert(err, qt.IsNil)
		_, err = kv.Put(ctx, "leased", nil, 0, id)
		c.Assert(err, qt.IsNil)
		c.Assert(kv.Renew(ctx, id), qt.IsNil)
		c.Assert(kv.Revoke(ctx, id), qt.IsNil)
		_, err = kv.Get(ctx, "leased")
		c.Assert(err, qt.ErrorIs, keeper.ErrNotFound)
		c.Assert(kv.Renew(ctx, id), qt.ErrorIs, keeper.ErrLeaseExpired)
	})
	c.Run("client gets the errors of the store", func(c *qt.C) {
		_, err := kv.Get(ctx, "absent")
		c.Assert(err, qt.ErrorIs, keeper.ErrNotFound)
		_, err = kv.Put(ctx, "absent", nil, 9, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrConflict)
		_, err = kv.Put(ctx, "absent", make([]byte, keeper.ValueLimit+1), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrTooLarge)
	})
	c.Run("faults of all clients and of one client", func(c *qt.C) {
		post(c, url+"/v1/faults", `{"lost":1}`)
		_, err := kv.Put(ctx, "lost", []byte("x"), 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrOutcomeUnknown)
		post(c, url+"/v1/faults", `{}`)
		entry, err := kv.Get(ctx, "lost")
		c.Assert(err, qt.IsNil)
		c.Assert(string(entry.Value()), qt.Equals, "x")
		post(c, url+"/v1/faults", `{"client":"a","down":true}`)
		_, err = kv.Put(ctx, "down", nil, 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrUnavailable)
		post(c, url+"/v1/faults", `{"client":"b","down":true}`)
		post(c, url+"/v1/faults", `{"client":"a"}`)
		_, err = kv.Put(ctx, "down", nil, 0, 0)
		c.Assert(err, qt.IsNil)
	})
}

func TestPlatformVMs(t *testing.T) {
	c := qt.New(t)
	p, url, _ := newPlatform(c, emulator.NewStore(), emulator.WithLag(30*time.Millisecond))
	list := func(after string) (revision uint64, ids string) {
		response, err := http.Get(url + "/v1/vms?after=" + after)
		c.Assert(err, qt.IsNil)
		defer response.Body.Close()
		var message struct {
			Revision uint64
			VMs      []emulator.VM
		}
		c.Assert(json.NewDecoder(response.Body).Decode(&message), qt.IsNil)
		for _, vm := range message.VMs {
			ids += vm.ID + ":" + vm.State + " "
		}
		return message.Revision, ids
	}
	p.SetVM(emulator.VM{ID: "w1", Role: "worker", State: "live"})
	_, ids := list("0")
	c.Assert(ids, qt.Equals, "")
	p.SetVM(emulator.VM{ID: "w2", Role: "worker", State: "live"})
	time.Sleep(40 * time.Millisecond)
	revision, ids := list("0")
	c.Assert(revision, qt.Equals, uint64(2))
	c.Assert(ids, qt.Equals, "w1:live w2:live ")
	post(c, url+"/v1/vms", `{"id":"w1","state":"gone"}`)
	time.Sleep(40 * time.Millisecond)
	_, ids = list("2")
	c.Assert(ids, qt.Equals, "w1:gone ")
}
