// Package share exchanges the sketches of a gatherer's parts between instances over Redis servers. Each instance writes
// its own sketches under its own ID, with a lifetime, and reads those of some other instances. Queries never wait for
// an exchange: without a server, each instance decides by its own sketches.
package share

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/redis/go-redis/v9"

	"lockflow/internal/waitpolicy"
	"lockflow/internal/waitpolicy/pool"
)

//go:embed share.lua
var scriptSource string

var script = redis.NewScript(scriptSource)

// Limits and defaults.
const (
	MaxStores       = 4
	MaxMembersRead  = 16 // maximum in one exchange; further members are read in later exchanges
	DefaultInterval = 5 * time.Second
	DefaultTimeout  = time.Second
)

const (
	// lifetimeIntervals is the lifetime of shared sketches, as a multiple of the interval between exchanges.
	lifetimeIntervals = 12
	// jitterDivisor divides the interval between exchanges; the result is the maximum jitter in both directions.
	jitterDivisor = 4
	// maxReadOffset limits the random index of the first member that is read.
	maxReadOffset = 1 << 20
	// memberFields is the number of strings per member in a reply: ID, age in milliseconds, sketches.
	memberFields = 3
	// maxAgeMilliseconds limits the ages that are accepted.
	maxAgeMilliseconds = 1 << 40
	// jitterStream is the second seed of the random number generator, beside Options.Seed.
	jitterStream = 0x7368617265
)

// errMalformedReply is wrapped by the errors of replies that cannot be parsed.
var errMalformedReply = errors.New("malformed reply of a model store")

// Store is a Redis server.
type Store struct {
	Address  string // host:port
	Username string
	Password string
}

// Options configure the sharing of one gatherer's model at one instance.
type Options struct {
	Stores     []Store       // 1 to MaxStores
	Gatherer   string        // the same at all instances; part of the keys
	InstanceID string        // unique to the process
	Interval   time.Duration // between two exchanges, with a jitter of a quarter; 0 is DefaultInterval
	Timeout    time.Duration // of a call; 0 is DefaultTimeout
	Seed       uint64        // of the jitter
	Log        *slog.Logger  // nil is slog.Default
}

// validate returns an error for options that cannot be used.
func (o *Options) validate() error {
	if len(o.Stores) == 0 || len(o.Stores) > MaxStores {
		return fmt.Errorf("sharing a wait policy: %d stores are not in the range 1 to %d", len(o.Stores), MaxStores)
	}
	if o.InstanceID == "" || len(o.InstanceID) > pool.MaxIDBytes {
		return fmt.Errorf("sharing a wait policy: instance ID of %d bytes is not in the range 1 to %d", len(o.InstanceID), pool.MaxIDBytes)
	}
	return nil
}

// setDefaults replaces zero values.
func (o *Options) setDefaults() {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
}

// Model is the model whose sketches are shared, such as a *waitpolicy.Model.
type Model interface {
	// Shared encodes the instance's own sketches.
	Shared() ([]byte, error)
	// Sketches returns the instance's own sketches.
	Sketches() ([]waitpolicy.Key, []waitpolicy.Sketch)
	// SetFleet sets the sketches of all other instances and the trust in them.
	SetFleet(sketches map[waitpolicy.Key]*waitpolicy.Sketch, trust float64)
}

// Sharer shares a model. Its methods except Exchange are safe for concurrent use.
type Sharer struct {
	options    Options
	log        *slog.Logger
	rng        *rand.Rand
	clients    []*redis.Client // by store
	lastErrors []error         // by store: error of the last call
	startedAt  time.Time

	mu     sync.Mutex
	model  Model
	pool   *pool.Pool
	status Status
}

// Status is the state of a sharer, and its counts since it was created.
type Status struct {
	pool.Stats
	Exchanges uint64   `json:"exchanges"`
	Failures  uint64   `json:"failures"` // failed calls of stores
	Bytes     int      `json:"bytes"`    // written in the last exchange
	Failing   []string `json:"failing"`  // addresses whose last call failed
}

// New returns a sharer. It connects to the stores when it runs.
func New(options Options, model Model) (*Sharer, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	options.setDefaults()
	s := &Sharer{
		options:    options,
		log:        options.Log,
		model:      model,
		rng:        rand.New(rand.NewPCG(options.Seed, jitterStream)),
		lastErrors: make([]error, len(options.Stores)),
		startedAt:  time.Now(),
		pool: pool.New(pool.Options{
			OwnID:         options.InstanceID,
			Lifetime:      lifetimeIntervals * options.Interval,
			MergeInterval: options.Interval,
		}),
	}
	for _, store := range options.Stores {
		s.clients = append(s.clients, newClient(store, options.Timeout))
	}
	return s, nil
}

func newClient(store Store, timeout time.Duration) *redis.Client {
	return redis.NewClient(&redis.Options{
		Addr:                  store.Address,
		Username:              store.Username,
		Password:              store.Password,
		Protocol:              2,
		DisableIdentity:       true,
		MaxRetries:            -1, // the next exchange is the retry
		DialerRetries:         1,
		PoolSize:              1,
		MaxActiveConns:        1,
		MaxIdleConns:          1,
		ConnMaxIdleTime:       time.Minute,
		ContextTimeoutEnabled: true,
		DialTimeout:           timeout,
		ReadTimeout:           timeout,
		WriteTimeout:          timeout,
	})
}

// SetModel replaces the model, for example after a reload.
func (s *Sharer) SetModel(model Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model = model
}

// Run performs an exchange in each interval until ctx ends, and then closes the connections.
func (s *Sharer) Run(ctx context.Context) {
	defer func() {
		for _, client := range s.clients {
			_ = client.Close() // an error when closing a connection pool has no effect
		}
	}()
	timer := time.NewTimer(time.Duration(s.rng.Int64N(int64(s.options.Interval))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		s.Exchange(ctx)
		jitter := int64(s.options.Interval / jitterDivisor)
		timer.Reset(s.options.Interval + time.Duration(s.rng.Int64N(2*jitter+1)-jitter))
	}
}

// Exchange writes the instance's own sketches to all stores, reads those of other instances, and passes them to the
// model. Run calls it; only one Exchange may run at a time.
func (s *Sharer) Exchange(ctx context.Context) {
	s.mu.Lock()
	model := s.model
	s.mu.Unlock()
	own, err := model.Shared()
	if err != nil {
		s.log.Error("encoding the wait policy model for sharing failed", "gatherer", s.options.Gatherer, "err", err)
		return
	}
	replies, errs := s.callStores(ctx, own)
	sketches, trust := s.mergeReplies(model, len(own), replies, errs)
	model.SetFleet(sketches, trust)
	s.logErrors(ctx, errs)
}

// callStores calls all stores concurrently. Results are in the order of the stores.
func (s *Sharer) callStores(ctx context.Context, own []byte) (replies [][]string, errs []error) {
	replies = make([][]string, len(s.clients))
	errs = make([]error, len(s.clients))
	readOffset := s.rng.IntN(maxReadOffset)
	var calls sync.WaitGroup
	for i := range s.clients {
		calls.Go(func() { replies[i], errs[i] = s.callStore(ctx, i, own, readOffset) })
	}
	calls.Wait()
	return replies, errs
}

// mergeReplies adds the replies to the pool and returns the merged sketches of all members and the trust in them. It
// sets the errors of replies that cannot be parsed.
func (s *Sharer) mergeReplies(model Model, ownBytes int, replies [][]string, errs []error) (map[waitpolicy.Key]*waitpolicy.Sketch, float64) {
	now := time.Since(s.startedAt)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Exchanges++
	s.status.Bytes = ownBytes
	s.status.Failing = nil
	for i, reply := range replies {
		if errs[i] == nil {
			s.pool.StoreReplied(now)
			errs[i] = s.acceptReply(now, reply)
		}
		if errs[i] != nil {
			s.status.Failures++
			s.status.Failing = append(s.status.Failing, s.options.Stores[i].Address)
		}
	}
	keys, sketches := model.Sketches()
	return s.pool.Merge(now, keys, sketches)
}

// logErrors logs stores that have started to fail, or have recovered.
func (s *Sharer) logErrors(ctx context.Context, errs []error) {
	for i, err := range errs {
		address := s.options.Stores[i].Address
		hadFailed := s.lastErrors[i] != nil
		switch {
		case err != nil && !hadFailed && ctx.Err() == nil:
			s.log.Warn("sharing the wait policy model failed", "gatherer", s.options.Gatherer, "store", address, "err", err)
		case err == nil && hadFailed:
			s.log.Info("wait policy model shared again", "gatherer", s.options.Gatherer, "store", address)
		}
		s.lastErrors[i] = err
	}
}

// callStore writes the instance's own sketches to a store and returns its reply: memberFields strings per member.
func (s *Sharer) callStore(ctx context.Context, store int, own []byte, readOffset int) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	prefix := "{lockflow:" + s.options.Gatherer + "}:gather"
	lifetime := lifetimeIntervals * s.options.Interval
	reply, err := script.Run(ctx, s.clients[store], []string{prefix, prefix + ":"},
		s.options.InstanceID, own, lifetime.Milliseconds(), MaxMembersRead, readOffset).StringSlice()
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", s.options.Stores[store].Address, err)
	}
	return reply, nil
}

// acceptReply adds the members of a reply to the pool. It returns the first error; valid members are added nevertheless.
func (s *Sharer) acceptReply(now time.Duration, reply []string) error {
	if len(reply)%memberFields != 0 || len(reply) > memberFields*MaxMembersRead {
		return fmt.Errorf("%w: %d values are incomplete or too many", errMalformedReply, len(reply))
	}
	var first error
	for ; len(reply) > 0; reply = reply[memberFields:] {
		err := s.acceptMember(now, reply[0], reply[1], []byte(reply[2]))
		if first == nil {
			first = err
		}
	}
	return first
}

func (s *Sharer) acceptMember(now time.Duration, id, age string, report []byte) error {
	milliseconds, err := strconv.ParseInt(age, 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > maxAgeMilliseconds {
		return fmt.Errorf("%w: invalid age %q", errMalformedReply, age)
	}
	return s.pool.AddReport(now, id, time.Duration(milliseconds)*time.Millisecond, report)
}

// Status returns the sharer's state and counts.
func (s *Sharer) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	status.Stats = s.pool.Stats()
	return status
}
