// SPDX-License-Identifier: Apache-2.0

package capacity

import "time"

// Control gives bounds of the traffic that control needs in a deployment on the users'
// platform, as functions of its size. The regions are equally large.
type Control struct {
	// Gateways, Engines and Endpoints are the numbers in all regions together; Endpoints
	// includes the engines.
	Gateways, Engines, Endpoints, Regions int
	// Heartbeat is the time between two entries of an endpoint in the list.
	Heartbeat time.Duration
}

// Sizes of what is sent, in bytes.
const (
	entryBytes  = 300 // an endpoint's entry in a read of the list
	reportBytes = 250 // a load report, with headers
	noticeBytes = 300 // a subscription of a gateway
)

// Rates of the control traffic.
const (
	listReadsPerSecond = 1.0
	// recordReadsPerSecond follows from the wait of a long poll for the operator's
	// records, for a bound of 5 s.
	recordReadsPerSecond = 0.45
	// calmReportsPerSecond is how often a sidecar sends an unchanged report, and
	// noticesPerSecond how often a gateway renews a subscription.
	calmReportsPerSecond = 3.3
	noticesPerSecond     = 2.0
)

// Bounds of the packages that decide: readers of the store in a region, in calm and while
// up to half of its gateways are lost; watched engines of other regions, for a gateway and
// for a region; watched engines of the own region, and watchers of an engine.
const (
	readers             = 2
	readersUnderFault   = 8
	remoteWatched       = 12
	remoteWatchedRegion = 480
	remoteWatchedLeast  = 3
	localWatched        = 36
	engineWatchers      = 6
)

// perRegion returns a region's share of n, rounded up.
func (c Control) perRegion(n int) int { return (n + c.Regions - 1) / c.Regions }

// StoreReaders returns the highest number of gateways of a region that read the store at
// the same time, in calm and while gateways are lost or turned away.
func (c Control) StoreReaders() (calm, underFault int) {
	return min(readers, c.perRegion(c.Gateways)), min(readersUnderFault, c.perRegion(c.Gateways))
}

// StoreCalls returns the calls to the store a second of all processes together, in calm.
func (c Control) StoreCalls() float64 {
	calm, _ := c.StoreReaders()
	return float64(c.Regions*calm) * (listReadsPerSecond + recordReadsPerSecond)
}

// BorderSubscriptions returns the highest number of subscriptions of a region's gateways
// to engines of other regions.
func (c Control) BorderSubscriptions() int {
	gateways := c.perRegion(c.Gateways)
	return min(gateways*max(remoteWatched, localWatched+remoteWatched-c.perRegion(c.Engines)), max(remoteWatchedRegion, remoteWatchedLeast*gateways))
}

// BorderBytes returns the bytes a second that control sends into a region from all others,
// in calm: entries of the list for its readers, and reports.
func (c Control) BorderBytes() float64 {
	calm, _ := c.StoreReaders()
	list := float64(calm*c.Endpoints*entryBytes) / c.Heartbeat.Seconds()
	reports := float64(c.BorderSubscriptions()*reportBytes) * (calmReportsPerSecond + noticesPerSecond)
	return list + reports
}

// Watched returns the highest number of engines that a gateway watches on average.
func (c Control) Watched() int {
	gateways, engines := c.perRegion(c.Gateways), c.perRegion(c.Engines)
	local := min(engines, localWatched+engines*min(engineWatchers, gateways)/gateways)
	return local + c.BorderSubscriptions()/gateways
}

// GatewayBytes returns the bytes a second that a gateway receives and sends for the load
// reports of idle engines.
func (c Control) GatewayBytes() float64 {
	return float64(c.Watched()) * ((calmReportsPerSecond+noticesPerSecond)*reportBytes + noticesPerSecond*noticeBytes)
}

// Questions of a gateway that the store turns away at its start, to each of the seeds: the
// pause begins at firstSeedPause and doubles up to lastSeedPause, and a response names at
// most a few gateways.
const (
	firstSeedPause    = 150 * time.Millisecond
	lastSeedPause     = 4 * time.Second
	seedResponseBytes = 600 // with headers
)

// SeedQuestions returns the highest number of questions that reach a seed within a time
// after the start of gateways that the store turns away. No others ask.
func SeedQuestions(turnedAway int, within time.Duration) float64 {
	n := 1
	for at, pause := firstSeedPause, firstSeedPause; at < within; at += pause {
		n++
		pause = min(2*pause, lastSeedPause)
	}
	return float64(turnedAway * n)
}

// SeedBytes returns the bytes a second that a seed sends while gateways that have started
// are turned away for long.
func SeedBytes(turnedAway int) float64 {
	return float64(turnedAway*seedResponseBytes) / lastSeedPause.Seconds()
}
