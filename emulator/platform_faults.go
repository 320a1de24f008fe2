package emulator

import (
	"net/http"
	"time"
)

// faultsMessage is the request to replace the faults of one client, or those of all
// clients if Client is empty. An omitted fault is switched off.
type faultsMessage struct {
	Client   string  `json:"client,omitempty"`
	Down     bool    `json:"down,omitempty"`
	Cut      bool    `json:"cut,omitempty"`      // partitioned from the store
	Delay    int64   `json:"delay,omitempty"`    // milliseconds
	Lost     float64 `json:"lost,omitempty"`     // share of the writes whose response is lost
	Late     float64 `json:"late,omitempty"`     // share of the writes that are carried out late
	Lateness int64   `json:"lateness,omitempty"` // milliseconds
	Stale    float64 `json:"stale,omitempty"`    // share of the reads
	Fail     float64 `json:"fail,omitempty"`     // share of the reads and watches
	Lapse    bool    `json:"lapse,omitempty"`    // expire all leases once
}

// countsMessage is the response with the numbers of calls of one client or of all
// clients.
type countsMessage struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// faults returns the message's faults.
func (m faultsMessage) faults() []Fault {
	list := []Fault{
		Slow(time.Duration(m.Delay) * time.Millisecond),
		LoseResponses(m.Lost),
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
	if !decodeBody(w, r, &message) {
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
	writeResponse(w, struct{}{}, nil)
}

func (p *Platform) getCounts(w http.ResponseWriter, r *http.Request) {
	counts := p.store.Counts()
	if name := r.URL.Query().Get("client"); name != "" {
		counts = p.store.Client(name).Counts()
	}
	writeResponse(w, countsMessage{Reads: counts.Reads(), Writes: counts.Writes(), Watches: counts.Watches()}, nil)
}
