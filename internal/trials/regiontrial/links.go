package regiontrial

import (
	"fmt"
	"time"

	"lockflow/internal/trials/faultnet"
	"lockflow/internal/trials/faultnet/script"
)

// Links of each node, the first ones of a trial.
const (
	clientLinkIndex  = iota // of its clients
	controlLinkIndex        // of its control socket
	linksPerNode
)

// Links of each region, which come after those of all nodes.
const (
	firstEntryLink  = iota // from other regions to its first listener
	secondEntryLink        // and to its second
	firstAppLink           // to its app's servers
	secondAppLink
	poolLink
	linksPerRegion
)

// entryNodes is how many nodes of a region other regions send to.
const entryNodes = 2

// Links returns how many links a trial has with so many nodes in each region.
func Links(nodesPerRegion int) int {
	return regionCount * (linksPerNode*nodesPerRegion + linksPerRegion)
}

// LinkName returns the name of the link with an index.
func LinkName(nodesPerRegion, index int) string {
	nodes := regionCount * nodesPerRegion
	if index < linksPerNode*nodes {
		return []string{"clients to ", "coordinators to "}[index%linksPerNode] + memberName(index/linksPerNode)
	}
	index -= linksPerNode * nodes
	region := regionNames[index/linksPerRegion]
	prefixes := [...]string{
		firstEntryLink:  "regions to the first listener of ",
		secondEntryLink: "regions to the second listener of ",
		firstAppLink:    region + " to app 0 of ",
		secondAppLink:   region + " to app 1 of ",
		poolLink:        region + " to the pool of ",
	}
	return prefixes[index%linksPerRegion] + region
}

func memberName(node int) string { return fmt.Sprint("node-", node) }

// Draw draws a script of faults for a trial.
func Draw(seed uint64, nodesPerRegion, faults int, duration time.Duration) faultnet.Script {
	return faultnet.Draw(seed, faultnet.Spec{
		Links: Links(nodesPerRegion), Procs: regionCount * nodesPerRegion, For: duration, Faults: faults,
		ProcKinds: []script.Kind{script.Kill, script.Pause, script.Full, script.ReadOnly},
	})
}
