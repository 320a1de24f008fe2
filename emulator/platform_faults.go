package emulator

import (
	"net/http"
	"time"
)

// faultsMessage switches the faults of one client, or of all when none is named.
// What it leaves out is switched off.
type faultsMessage struct {
	Client   string  `json:"client,omitempty"`
	Down     bool    `json:"down,omitempty"`
	Cut      bool    `json:"cut,omitempty"`
	Delay    int64   `json:"delay,omitempty"` // milliseconds
	Lost     float64 `json:"lost,omitempty"`  // part of the writes
	Late     float64 `json:"late,omitempty"`  // part of the writes
	Lateness int64   `json:"lateness,omitempty"`
	Stale    float64 `json:"stale,omitempty"` // part of the reads
	Fail     float64 `json:"fail,omitempty"`  // part of the reads
	Lapse    bool    `json:"lapse,omitempty"` // end all leases once
}

// countsMessage tells the calls of a client, or of all.
type countsMessage struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// faults returns the message's faults.
func (m faultsMessage) faults() []Fault {
	list := []Fault{
		Slow(time.Duration(m.Delay) * time.Millisecond),
		LoseAnswers(m.Lost),
		LateWrites(m.Late, time.Duration(m.Lateness)*time.Millisecond),
		StaleReads(m.Stale),
		FailReads(m.Fail),
	}
	if m.Down {
		list = append(list, Down())
	}
	if m.Cut {
		list = append(list, Partition())
	}
	return list
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var message faultsMessage
	if !decode(w, r, &message) {
		return
	}
	if message.Client == "" {
		p.store.SetFaults(message.faults()...)
	} else {
		p.store.Client(message.Client).SetFaults(message.faults()...)
	}
	if message.Lapse {
		p.store.ExpireLeases()
	}
	answer(w, struct{}{}, nil)
}

func (p *Platform) getCounts(w http.ResponseWriter, r *http.Request) {
	counts := p.store.Counts()
	if name := r.URL.Query().Get("client"); name != "" {
		counts = p.store.Client(name).Counts()
	}
	answer(w, countsMessage{Reads: counts.Reads(), Writes: counts.Writes(), Watches: counts.Watches()}, nil)
}
