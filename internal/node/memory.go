package node

import (
	"math"

	"lockflow/internal/config"
	"lockflow/internal/front"
	"lockflow/internal/limits"
)

// The fractions of the process's memory limit that clients may make it use. The rest is left for the process itself and for
// memory that is not collected yet.
const (
	requestMemoryFraction    = 0.5  // admitted requests and their answers, in a process with a single service
	connectionMemoryFraction = 0.15 // client connections
	inputMemoryFraction      = 0.1  // heads and bodies of requests that are not admitted yet
	accountMemoryFraction    = 0.05 // accounts of customers, over all services
)

const (
	accountBytes = 512   // memory of a customer's account
	maxAccounts  = 20000 // of a service, with any memory
)

// memoryOf returns a fraction of the process's memory limit in bytes, which is unlimited if the process has no limit.
func memoryOf(process *config.Process, fraction float64) int64 {
	if process.MemoryMB == 0 {
		return math.MaxInt64
	}
	return int64(fraction * float64(process.MemoryMB<<20))
}

// maxServiceAccounts returns the maximum accounts of customers for each service.
func maxServiceAccounts(process *config.Process, services int) int {
	return int(min(maxAccounts, max(1, memoryOf(process, accountMemoryFraction)/accountBytes/int64(max(1, services)))))
}

// limitClientMemory returns the limiter of client connections with a further limit by the process's memory, and limits the
// memory of the requests that clients are sending.
func limitClientMemory(process *config.Process, sockets limits.ConnectionLimiter, f *front.Front) limits.ConnectionLimiter {
	f.LimitInput(limits.NewByteLimiter(memoryOf(process, inputMemoryFraction)))
	maxConnections := max(1, memoryOf(process, connectionMemoryFraction)/front.ConnectionBytes)
	return limits.NewCappedLimiter(sockets, maxConnections, f.Evict)
}
