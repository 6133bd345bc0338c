// Package share carries what instances have learned of a gatherer's parts over Redis servers: each
// writes its own under its own name, for a time, and reads some of the others'. It runs beside the
// queries and never in their way; without a server each instance goes on with what it knows itself.
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

// Bounds and defaults.
const (
	MaxStores         = 4
	MaxMembersRead    = 16 // members in one exchange; others follow in the next
	DefaultInterval   = 5 * time.Second
	DefaultTimeout    = time.Second
	lifetimeIntervals = 12 // exchanges after which what was told counts for nothing
)

// Store is one server.
type Store struct {
	Address  string
	Username string
	Password string
}

// Options are of one gatherer at one instance.
type Options struct {
	Stores     []Store
	Gatherer   string        // of the gatherer, the same at all instances; keys begin with it
	InstanceID string        // of the instance, its own in each process
	Interval   time.Duration // between two exchanges, a quarter more or less; 0 is DefaultInterval
	Timeout    time.Duration // that one call may take; 0 is DefaultTimeout
	Seed       uint64
	Log        *slog.Logger // nil is the default
}

// Model is what learns; a *waitpolicy.Model is one.
type Model interface {
	Shared() ([]byte, error)
	Sketches() ([]waitpolicy.Key, []waitpolicy.Sketch)
	SetFleet(all map[waitpolicy.Key]*waitpolicy.Sketch, trust float64)
}

// Sharer exchanges what a model has learned. Its methods are safe for concurrent use.
type Sharer struct {
	options    Options
	log        *slog.Logger
	rng        *rand.Rand
	clients    []*redis.Client
	lastErrors []error
	startedAt  time.Time

	mu     sync.Mutex // what follows
	model  Model
	pool   *pool.Pool
	status Status
}

// Status is what an operator asks of it.
type Status struct {
	pool.Stats
	Exchanges uint64   `json:"exchanges"`
	Failures  uint64   `json:"failures"`
	Bytes     int      `json:"bytes"`   // written in the last exchange
	Failing   []string `json:"failing"` // addresses whose last call failed
}

// New makes one that connects once it runs.
func New(o Options, m Model) (*Sharer, error) {
	if len(o.Stores) == 0 || len(o.Stores) > MaxStores {
		return nil, fmt.Errorf("gather: %d stores; 1 to %d can be", len(o.Stores), MaxStores)
	}
	if o.InstanceID == "" || len(o.InstanceID) > pool.MaxIDBytes {
		return nil, fmt.Errorf("gather: an instance's name of %d bytes; 1 to %d can be", len(o.InstanceID), pool.MaxIDBytes)
	}
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	s := &Sharer{
		options: o, log: o.Log, model: m, rng: rand.New(rand.NewPCG(o.Seed, 0x7368617265)), lastErrors: make([]error, len(o.Stores)), startedAt: time.Now(),
		pool: pool.New(pool.Options{OwnID: o.InstanceID, Lifetime: lifetimeIntervals * o.Interval, MergeInterval: o.Interval}),
	}
	for _, at := range o.Stores {
		s.clients = append(s.clients, redis.NewClient(&redis.Options{
			Addr: at.Address, Username: at.Username, Password: at.Password, Protocol: 2, DisableIdentity: true,
			MaxRetries: -1, PoolSize: 1, MaxActiveConns: 1, MaxIdleConns: 1, ContextTimeoutEnabled: true,
			DialTimeout: o.Timeout, ReadTimeout: o.Timeout, WriteTimeout: o.Timeout, ConnMaxIdleTime: time.Minute, DialerRetries: 1,
		}))
	}
	return s, nil
}

// SetModel has another model take the place of the one there was, as after a reload.
func (s *Sharer) SetModel(m Model) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model = m
}

// Run exchanges now and then until the context ends, and closes the connections.
func (s *Sharer) Run(ctx context.Context) {
	defer func() {
		for _, c := range s.clients {
			_ = c.Close() // a connection pool
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
		quarter := int64(s.options.Interval / 4)
		timer.Reset(s.options.Interval + time.Duration(s.rng.Int64N(2*quarter+1)-quarter))
	}
}

// Exchange makes one exchange with each store, and tells the model what all others know. One is made
// at a time: Run calls it.
func (s *Sharer) Exchange(ctx context.Context) {
	s.mu.Lock()
	m := s.model
	s.mu.Unlock()
	value, err := m.Shared()
	if err != nil {
		s.log.Error("gather: what was learned can't be written", "gatherer", s.options.Gatherer, "err", err)
		return
	}
	replies := make([][]string, len(s.clients))
	errs := make([]error, len(s.clients))
	var all sync.WaitGroup
	begin := s.rng.IntN(1 << 20)
	for i := range s.clients {
		all.Go(func() { replies[i], errs[i] = s.callStore(ctx, i, value, begin) })
	}
	all.Wait()
	now := time.Since(s.startedAt)
	s.mu.Lock()
	s.status.Exchanges++
	s.status.Bytes = len(value)
	s.status.Failing = nil
	for i, raw := range replies {
		if errs[i] == nil {
			s.pool.StoreReplied(now)
			errs[i] = s.acceptReply(now, raw)
		}
		if errs[i] != nil {
			s.status.Failures++
			s.status.Failing = append(s.status.Failing, s.options.Stores[i].Address)
		}
	}
	keys, own := m.Sketches()
	fleet, trust := s.pool.Merge(now, keys, own)
	s.mu.Unlock()
	m.SetFleet(fleet, trust)
	for i, err := range errs {
		at := s.options.Stores[i].Address
		switch was := s.lastErrors[i]; {
		case err != nil && was == nil && ctx.Err() == nil:
			s.log.Warn("gather: sharing what was learned failed", "gatherer", s.options.Gatherer, "store", at, "err", err)
		case err == nil && was != nil:
			s.log.Info("gather: sharing works again", "gatherer", s.options.Gatherer, "store", at)
		}
		s.lastErrors[i] = err
	}
}

func (s *Sharer) callStore(ctx context.Context, store int, value []byte, begin int) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	prefix := "{lockflow:" + s.options.Gatherer + "}:gather"
	raw, err := script.Run(ctx, s.clients[store], []string{prefix, prefix + ":"}, s.options.InstanceID, value,
		(lifetimeIntervals * s.options.Interval).Milliseconds(), MaxMembersRead, begin).StringSlice()
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", s.options.Stores[store].Address, err)
	}
	return raw, nil
}

var errMalformedReply = errors.New("gather: a store's answer can't be read")

// acceptReply has the pool take an answer. What one member told that can't be read costs the others nothing.
func (s *Sharer) acceptReply(now time.Duration, raw []string) error {
	if len(raw)%3 != 0 || len(raw) > 3*MaxMembersRead {
		return fmt.Errorf("%w: %d values", errMalformedReply, len(raw))
	}
	var first error
	for ; len(raw) > 0; raw = raw[3:] {
		age, err := strconv.ParseInt(raw[1], 10, 64)
		if err != nil || age < 0 || age > 1<<40 {
			err = fmt.Errorf("%w: an age of %q", errMalformedReply, raw[1])
		} else {
			err = s.pool.AddReport(now, raw[0], time.Duration(age)*time.Millisecond, []byte(raw[2]))
		}
		if first == nil {
			first = err
		}
	}
	return first
}

// Status is how it stands.
func (s *Sharer) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.status
	st.Stats = s.pool.Stats()
	return st
}
