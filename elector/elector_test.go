package elector_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/elector"
	"filberthaven.example/emulator"
	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

const shard = "pianura-a.0"

// node is one process of an entry VM, with the terms that its callbacks
// reported.
type node struct {
	*elector.Elector
	client *emulator.Client
	cancel context.CancelFunc
	done   chan error

	mu        sync.Mutex
	terms     map[string]uint64    // by shard; 0 after a loss
	changedAt map[string]time.Time // time of the last callback, by shard
}

// startNode starts a process of the VM with that id.
func startNode(c *qt.C, store *emulator.Store, id string, incarnation uint64, shards ...string) *node {
	c.Helper()
	n := &node{client: store.Client(id), done: make(chan error, 1), terms: map[string]uint64{}, changedAt: map[string]time.Time{}}
	kv := n.client.KV()
	mirror := keeper.NewMirror(kv, "live/")
	e, err := elector.New(kv, mirror, elector.NewVM(id, incarnation, id+":1", "pianura-a"),
		elector.WithOnElected(func(shard string, term uint64) { n.setTerm(shard, term) }),
		elector.WithOnDeposed(func(shard string) { n.setTerm(shard, 0) }))
	c.Assert(err, qt.IsNil)
	e.SetEligibleShards(shards...)
	n.Elector = e
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { _ = mirror.Run(ctx) }()
	go func() { n.done <- e.Run(ctx) }()
	c.Cleanup(cancel)
	return n
}

// setTerm records the term and the time of a callback.
func (n *node) setTerm(shard string, term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.terms[shard] = term
	n.changedAt[shard] = time.Now()
}

// term returns the term under which the process believes that it owns the
// shard, or 0.
func (n *node) term(shard string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.terms[shard]
}

// lastChange returns the time of the last callback for the shard.
func (n *node) lastChange(shard string) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changedAt[shard]
}

// owners returns the processes that believe that they own the shard.
func owners(nodes []*node, shard string) []*node {
	var list []*node
	for _, n := range nodes {
		if n.term(shard) > 0 {
			list = append(list, n)
		}
	}
	return list
}

// soleOwner returns the only process that believes that it owns the shard. It
// fails the test if there is none or more than one.
func soleOwner(c *qt.C, nodes []*node, shard string) *node {
	c.Helper()
	list := owners(nodes, shard)
	c.Assert(list, qt.HasLen, 1)
	return list[0]
}

// startThree starts one process each of three VMs.
func startThree(c *qt.C, store *emulator.Store, shards ...string) []*node {
	c.Helper()
	return []*node{startNode(c, store, "a", 1, shards...), startNode(c, store, "b", 1, shards...), startNode(c, store, "c", 1, shards...)}
}

// others returns all processes but the excluded one.
func others(nodes []*node, excluded *node) []*node {
	var list []*node
	for _, n := range nodes {
		if n != excluded {
			list = append(list, n)
		}
	}
	return list
}

// runInBubble runs a subtest in a synctest bubble of its own.
func runInBubble(t *testing.T, name string, check func(*qt.C, *emulator.Store)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { check(qt.New(t), emulator.NewStore()) })
	})
}

func TestSpread(t *testing.T) {
	runInBubble(t, "shards spread over the vms", func(c *qt.C, store *emulator.Store) {
		shards := []string{"pianura-a.0", "pianura-a.1", "pianura-a.2"}
		nodes := startThree(c, store, shards...)
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			owned := 0
			for _, s := range shards {
				if n.term(s) > 0 {
					owned++
				}
			}
			c.Assert(owned, qt.Equals, 1)
		}
	})
}

func TestElection(t *testing.T) {
	runInBubble(t, "one owner", func(c *qt.C, store *emulator.Store) {
		nodes := startThree(c, store, shard)
		time.Sleep(2 * time.Second)
		owner := soleOwner(c, nodes, shard)
		for _, n := range nodes {
			known, ok := n.Owner(shard)
			c.Assert(ok, qt.IsTrue)
			c.Assert(known.Term(), qt.Equals, owner.term(shard))
			c.Assert(n.Live(), qt.HasLen, 3)
		}
	})
	runInBubble(t, "takeover after the owner dies", func(c *qt.C, store *emulator.Store) {
		nodes := startThree(c, store, shard)
		time.Sleep(10 * time.Second)
		owner := soleOwner(c, nodes, shard)
		term := owner.term(shard)
		died := time.Now()
		owner.cancel()
		time.Sleep(5 * time.Second)
		successor := soleOwner(c, others(nodes, owner), shard)
		c.Assert(successor.term(shard), qt.Equals, term+1)
		c.Assert(successor.lastChange(shard).Sub(died) < 4*time.Second, qt.IsTrue)
	})
	runInBubble(t, "hand-over", func(c *qt.C, store *emulator.Store) {
		nodes := startThree(c, store, shard)
		time.Sleep(10 * time.Second)
		owner := soleOwner(c, nodes, shard)
		started := time.Now()
		owner.Leave()
		c.Assert(owner.Resign(context.Background(), shard), qt.IsNil)
		time.Sleep(time.Second)
		successor := soleOwner(c, nodes, shard)
		c.Assert(successor, qt.Not(qt.Equals), owner)
		c.Assert(successor.lastChange(shard).Sub(started) < 500*time.Millisecond, qt.IsTrue)
		c.Assert(owner.Resign(context.Background(), shard), qt.ErrorIs, elector.ErrNotOwner)
	})
	runInBubble(t, "hand-over with lost responses", func(c *qt.C, store *emulator.Store) {
		nodes := startThree(c, store, shard)
		time.Sleep(10 * time.Second)
		owner := soleOwner(c, nodes, shard)
		owner.client.SetFaults(emulator.LoseResponses(1))
		c.Assert(owner.Resign(context.Background(), shard), qt.IsNil)
		time.Sleep(time.Second)
		c.Assert(soleOwner(c, nodes, shard), qt.Not(qt.Equals), owner)
	})
	runInBubble(t, "hand-over to a dead vm is refused", func(c *qt.C, store *emulator.Store) {
		nodes := startThree(c, store, shard)
		time.Sleep(10 * time.Second)
		owner := soleOwner(c, nodes, shard)
		c.Assert(owner.HandOver(context.Background(), shard, "nobody"), qt.ErrorIs, elector.ErrNoSuccessor)
	})
	runInBubble(t, "a new incarnation replaces the old owner", func(c *qt.C, store *emulator.Store) {
		old := startNode(c, store, "a", 1, shard)
		time.Sleep(5 * time.Second)
		c.Assert(old.term(shard), qt.Equals, uint64(1))
		restarted := startNode(c, store, "a", 2, shard)
		c.Assert(<-old.done, qt.ErrorIs, elector.ErrReplaced)
		c.Assert(old.term(shard), qt.Equals, uint64(0))
		time.Sleep(5 * time.Second)
		c.Assert(restarted.term(shard), qt.Equals, uint64(2))
	})
}

// TestLeave checks that a VM that is about to stop is not a successor.
func TestLeave(t *testing.T) {
	runInBubble(t, "a leaving vm is not a successor", func(c *qt.C, store *emulator.Store) {
		nodes := startThree(c, store, shard)
		time.Sleep(5 * time.Second)
		owner := soleOwner(c, nodes, shard)
		before, ok := owner.Successor(shard)
		c.Assert(ok, qt.IsTrue)
		for _, node := range others(nodes, owner) {
			node.Leave()
		}
		time.Sleep(300 * time.Millisecond)
		after, ok := owner.Successor(shard)
		c.Assert(ok, qt.IsFalse, qt.Commentf("%s before, %s after both others left", before, after))
	})
}

func TestSweep(t *testing.T) {
	runInBubble(t, "records of stale vms are deleted, others stay", func(c *qt.C, store *emulator.Store) {
		nodes := startThree(c, store, shard)
		time.Sleep(10 * time.Second)
		nodes[1].cancel()
		time.Sleep(5 * time.Minute)
		entries, err := store.KV().List(context.Background(), "live/vm/")
		c.Assert(err, qt.IsNil)
		c.Assert(entries, qt.HasLen, 3)
		time.Sleep(8 * time.Minute)
		entries, err = store.KV().List(context.Background(), "live/vm/")
		c.Assert(err, qt.IsNil)
		c.Assert(entries, qt.HasLen, 2)
		restarted := startNode(c, store, "b", 2, shard)
		time.Sleep(5 * time.Second)
		c.Assert(restarted.Live(), qt.HasLen, 3)
		soleOwner(c, []*node{nodes[0], nodes[2], restarted}, shard)
	})
}

func TestSweepOfPartitionedVM(t *testing.T) {
	runInBubble(t, "its record returns after healing", func(c *qt.C, store *emulator.Store) {
		nodes := startThree(c, store, shard)
		time.Sleep(10 * time.Second)
		for _, n := range nodes[1:] {
			n.client.SetFaults(emulator.Partition())
		}
		time.Sleep(15 * time.Minute)
		for _, n := range nodes[1:] {
			n.client.SetFaults()
		}
		time.Sleep(10 * time.Second)
		for _, n := range nodes {
			c.Assert(n.Live(), qt.HasLen, 3)
		}
		soleOwner(c, nodes, shard)
	})
}

func TestElectionUnderFaults(t *testing.T) {
	runInBubble(t, "a store outage keeps the owner", func(c *qt.C, store *emulator.Store) {
		nodes := startThree(c, store, shard)
		time.Sleep(10 * time.Second)
		owner := soleOwner(c, nodes, shard)
		term := owner.term(shard)
		store.SetFaults(emulator.Down())
		time.Sleep(time.Minute)
		c.Assert(soleOwner(c, nodes, shard), qt.Equals, owner)
		store.SetFaults()
		time.Sleep(10 * time.Second)
		c.Assert(soleOwner(c, nodes, shard).term(shard), qt.Equals, term)
	})
	runInBubble(t, "a partitioned owner is replaced and deposed after healing", func(c *qt.C, store *emulator.Store) {
		nodes := startThree(c, store, shard)
		time.Sleep(10 * time.Second)
		owner := soleOwner(c, nodes, shard)
		owner.client.SetFaults(emulator.Partition())
		time.Sleep(10 * time.Second)
		c.Assert(owners(nodes, shard), qt.HasLen, 2)
		owner.client.SetFaults()
		time.Sleep(5 * time.Second)
		c.Assert(soleOwner(c, nodes, shard), qt.Not(qt.Equals), owner)
	})
	runInBubble(t, "a vm that can't read acquires nothing", func(c *qt.C, store *emulator.Store) {
		nodes := startThree(c, store, shard)
		time.Sleep(10 * time.Second)
		owner := soleOwner(c, nodes, shard)
		for _, n := range others(nodes, owner) {
			n.client.SetFaults(emulator.FailReads(1))
		}
		time.Sleep(time.Minute)
		c.Assert(soleOwner(c, nodes, shard), qt.Equals, owner)
	})
	runInBubble(t, "an acquisition whose response is lost holds", func(c *qt.C, store *emulator.Store) {
		store.SetFaults(emulator.LoseResponses(1))
		nodes := startThree(c, store, shard)
		time.Sleep(20 * time.Second)
		c.Assert(soleOwner(c, nodes, shard).term(shard), qt.Equals, uint64(1))
	})
	runInBubble(t, "a higher term observed elsewhere deposes the owner", func(c *qt.C, store *emulator.Store) {
		nodes := startThree(c, store, shard)
		time.Sleep(10 * time.Second)
		owner := soleOwner(c, nodes, shard)
		owner.ObserveTerm(shard, owner.term(shard)+1)
		time.Sleep(time.Second)
		c.Assert(owner.term(shard), qt.Equals, uint64(0))
	})
	for seed := range uint64(20) {
		runInBubble(t, fmt.Sprint("terms only rise, seed ", seed), func(c *qt.C, _ *emulator.Store) {
			store := emulator.NewStore(emulator.WithSeed(seed + 1))
			store.SetFaults(emulator.LoseResponses(0.2), emulator.LateWrites(0.1, 700*time.Millisecond),
				emulator.StaleReads(0.2), emulator.FailReads(0.05))
			nodes := startThree(c, store, shard)
			ownerOf := map[uint64]*node{}                          // by term
			highest := map[*node]uint64{}                          // highest term of each owner
			maxRecorded, recorded := uint64(0), map[*node]uint64{} // terms in the shard's record, over all mirrors and by node
			for range 300 {
				time.Sleep(100 * time.Millisecond)
				for _, n := range nodes {
					term := n.term(shard)
					if term == 0 {
						continue
					}
					if ownerOf[term] == nil {
						ownerOf[term] = n
					}
					c.Assert(ownerOf[term], qt.Equals, n)
					c.Assert(term >= highest[n], qt.IsTrue)
					highest[n] = term
				}
				for _, n := range nodes {
					owner, _ := n.Owner(shard)
					c.Assert(owner.Term() >= recorded[n], qt.IsTrue)
					recorded[n] = owner.Term()
					maxRecorded = max(maxRecorded, owner.Term())
				}
				for term := range ownerOf {
					c.Assert(term <= maxRecorded, qt.IsTrue)
				}
			}
			store.SetFaults()
			time.Sleep(10 * time.Second)
			soleOwner(c, nodes, shard)
		})
	}
}
