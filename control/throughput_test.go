package control

import (
	"math"
	"testing"
	"time"
)

func warmFleet(servers int) *serverFleet {
	fleet := &serverFleet{servers: make(map[uint32]*server)}
	for i := range servers {
		srv := &server{Endpoint: Endpoint{Server: uint32(i)}, isListed: true, outlier: newOutlierDetector()}
		fleet.servers[srv.Server] = srv
		fleet.sortedServers = append(fleet.sortedServers, srv)
	}
	return fleet
}

func TestPeakThroughputRisesAtOnceAndDecaysSlowly(t *testing.T) {
	fleet := warmFleet(4)
	fleet.recordThroughput(0, 400, 1)
	if got := fleet.warmServerThroughput(0); got != 100 {
		t.Errorf("throughput of one of four servers is %g units per second after 400 in total, want 100", got)
	}
	fleet.recordThroughput(0, 0, 1)
	after := fleet.warmServerThroughput(0)
	if want := 100 * math.Exp(-1/peakDecaySeconds); math.Abs(after-want) > 1e-9 {
		t.Errorf("throughput is %g units per second after a second without requests, want %g", after, want)
	}
}

func TestUtilizationFractionHasALowerBound(t *testing.T) {
	var estimate fleetEstimate
	if got := estimate.utilizationFraction(); got != 1 {
		t.Errorf("utilization fraction is %g without reports, want 1", got)
	}
	estimate.utilization.add(0.1, fleetEstimateGain)
	if got := estimate.utilizationFraction(); got != minUtilizationFraction {
		t.Errorf("utilization fraction is %g after a report of 0.1, want the lower bound", got)
	}
}

// Of eight listed servers, four have failed all attempts and three of the others have reported recently. The count of
// all is scaled by the fraction of live ones among those tried, (1+3)/(1+3+4).
func TestUntriedServersAreCountedByTheRatioOfTriedOnes(t *testing.T) {
	fleet := warmFleet(8)
	now := time.Hour
	for i, srv := range fleet.sortedServers {
		switch {
		case i < 4:
			srv.outlier.consecutiveFailures = ejectionFailures
		case i < 7:
			srv.load.reportedAt = now
		}
	}
	if got := fleet.countWarm(now); got != 4 {
		t.Errorf("got %g warm servers, want 4", got)
	}
	fleet.sortedServers[7].slowStart.isActive = true
	if got := fleet.countWarm(now); got != 3.5 {
		t.Errorf("got %g warm servers with one that is warming up, want 3.5", got)
	}
}
