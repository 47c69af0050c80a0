// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// spread is a model of gateways that exchange records through relays, with the timing of
// package loadreport.
type spread struct {
	random   *rand.Rand
	loss     float64 // share of the messages that are lost
	gateways []*spreadNode
	relays   []*spreadNode
	inFlight []spreadMessage
}

type spreadNode struct {
	table   *Table
	lastRun int // time of the last round of messages, in ms
	due     bool
	sent    int // bytes
}

type spreadMessage struct {
	to      *spreadNode
	at      int // ms
	records []Record
}

// Timing of the model, in ms.
const (
	spreadStep         = 10
	spreadDelay        = 30 // of a message
	subscribeEvery     = 500
	minGatewayInterval = 100
	minRelayInterval   = 50
)

func newSpread(gateways int, loss float64, seed uint64) *spread {
	const relays = 5
	s := &spread{random: rand.New(rand.NewPCG(seed, 0)), loss: loss}
	for range gateways {
		s.gateways = append(s.gateways, &spreadNode{table: New(), lastRun: -s.random.IntN(subscribeEvery)})
	}
	for range relays {
		s.relays = append(s.relays, &spreadNode{table: NewRelayed(), lastRun: -minRelayInterval})
	}
	return s
}

// send sends records of a node to others.
func (s *spread) send(from *spreadNode, to []*spreadNode, records []Record, ms int) {
	from.due = false
	if len(records) == 0 {
		return
	}
	from.lastRun = ms
	text, _ := json.Marshal(records)
	from.sent += len(text) * len(to)
	for _, n := range to {
		if s.random.Float64() >= s.loss {
			s.inFlight = append(s.inFlight, spreadMessage{n, ms + spreadDelay, records})
		}
	}
}

// step delivers and sends the messages of one step.
func (s *spread) step(ms int) {
	var later []spreadMessage
	for _, m := range s.inFlight {
		if m.at > ms {
			later = append(later, m)
		} else if m.to.table.Merge(m.records, at(ms)) && m.to.table.relayed {
			m.to.due = true
		}
	}
	s.inFlight = later
	for _, g := range s.gateways {
		if since := ms - g.lastRun; since >= subscribeEvery || g.due && since >= minGatewayInterval {
			s.send(g, s.relays, g.table.Records(at(ms)), ms)
			g.lastRun = ms
			for _, r := range s.relays { // the responses
				if records := r.table.Records(at(ms)); len(records) > 0 && s.random.Float64() >= s.loss {
					s.inFlight = append(s.inFlight, spreadMessage{g, ms + 2*spreadDelay, records})
					text, _ := json.Marshal(records)
					r.sent += len(text)
				}
			}
		}
	}
	for _, r := range s.relays {
		if r.due && ms-r.lastRun >= minRelayInterval {
			s.send(r, s.gateways, r.table.UrgentRecords(at(r.lastRun), at(ms)), ms)
		}
	}
}

// crash lets an engine crash that runs a bad request and 15 sound ones, each at some gateway.
func (s *spread) crash(n, ms int) {
	for request := range 16 {
		parts := []string{"f0", fmt.Sprintf("a%x", s.random.IntN(20)), fmt.Sprintf("b%x", s.random.IntN(2000))}
		if request == 0 {
			parts[1] = "bad"
		}
		g := s.gateways[s.random.IntN(len(s.gateways))]
		g.table.RecordCrash(prompt(16*n+request, parts...), Observation{Endpoint: fmt.Sprint("e", n), Sent: at(ms - 300), At: at(ms)})
		g.due = true
	}
}

// All gateways must reject requests with a part that crashes engines soon after the fifth
// crash, however many gateways there are, also if many messages are lost.
func TestQuarantineReachesAllGateways(t *testing.T) {
	const limit = 3000 // ms, with which gateways must apply what one of them has observed
	for _, test := range []struct {
		gateways int
		loss     float64
	}{{3, 0}, {20, 0}, {20, 0.3}, {100, 0}, {100, 0.3}, {300, 0}} {
		t.Run(fmt.Sprintf("%d gateways, loss %.1f", test.gateways, test.loss), func(t *testing.T) {
			t.Parallel()
			s := newSpread(test.gateways, test.loss, 1)
			const crashes, crashEvery = 5, 150
			bad := prompt(9999, "f9", "bad")
			for n := range 20 { // common parts have completed at all gateways
				for _, g := range s.gateways {
					g.table.RecordCompletion(prompt(8000+n, "f0", fmt.Sprintf("a%x", n)), at(0))
				}
			}
			start, reached, ms := 1000, -1, 0
			for ; ms < 10_000 && reached < 0; ms += spreadStep {
				if n := ms - start; n >= 0 && n%crashEvery == 0 && n/crashEvery < crashes {
					s.crash(n/crashEvery, ms)
				}
				s.step(ms)
				if last := start + (crashes-1)*crashEvery; ms >= last {
					all := true
					for _, g := range s.gateways {
						all = all && g.table.Status(bad, at(ms)).Quarantined
					}
					if all {
						reached = ms - last
					}
				}
			}
			sentByGateway, sentByRelay := 0, 0
			for _, g := range s.gateways {
				sentByGateway = max(sentByGateway, g.sent)
			}
			for _, r := range s.relays {
				sentByRelay = max(sentByRelay, r.sent)
			}
			seconds := float64(ms-start) / 1000
			t.Logf("all gateways after %d ms; a gateway sends up to %.1f KB/s, a relay %.1f KB/s", reached, float64(sentByGateway)/1000/seconds, float64(sentByRelay)/1000/seconds)
			assert.Assert(t, reached >= 0 && reached <= limit, "after %d ms", reached)
		})
	}
}
