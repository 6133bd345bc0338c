// Package leasestore carries calls of quotalease.Holder to a Redis server, on which a script is the
// counter. It decides nothing, and sends no call twice.
package leasestore

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/redis/go-redis/v9"

	"lockflow/internal/quotalease"
)

//go:embed counter.lua
var scriptSource string

var script = redis.NewScript(scriptSource)

// Options are of one counter.
type Options struct {
	Address   string
	Username  string
	Password  string
	KeyPrefix string // of what is counted there, the same at all instances; keys begin with it
	Timeout   time.Duration
	Rules     quotalease.Rules
}

// Client asks one counter. It is safe for concurrent use.
type Client struct {
	options Options
	redis   *redis.Client
	keys    []string
}

// New makes a client that connects once it is asked.
func New(o Options) *Client {
	return &Client{options: o, keys: []string{"{lockflow:" + o.KeyPrefix + "}"}, redis: redis.NewClient(&redis.Options{
		Addr: o.Address, Username: o.Username, Password: o.Password, Protocol: 2, DisableIdentity: true,
		// The holder decides whether to ask again: a call that is sent twice would be two.
		MaxRetries: -1, PoolSize: 2, MaxActiveConns: 2, MaxIdleConns: 1, ContextTimeoutEnabled: true,
		DialTimeout: o.Timeout, ReadTimeout: o.Timeout, WriteTimeout: o.Timeout, ConnMaxIdleTime: time.Minute,
		DialerRetries: 1,
	})}
}

// Close ends its connections; calls that are out fail.
func (c *Client) Close() error { return c.redis.Close() }

// Call makes one call, within the time that it has at the most.
func (c *Client) Call(ctx context.Context, q *quotalease.StoreCall) (quotalease.StoreReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	// Of what it may send twice the first was not run: the server did not know the script.
	raw, err := script.Run(ctx, c.redis, c.keys, EncodeCall(q, c.options.Rules)...).StringSlice()
	if err != nil {
		return quotalease.StoreReply{}, fmt.Errorf("counter %s: %w", c.options.Address, err)
	}
	a, err := DecodeReply(raw)
	if err != nil {
		return a, fmt.Errorf("counter %s: %w", c.options.Address, err)
	}
	a.Seq = q.Seq
	return a, nil
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// EncodeCall are the script's arguments for a call.
func EncodeCall(q *quotalease.StoreCall, r quotalease.Rules) []any {
	all := make([]any, 0, 9+5*len(q.Requests)+3*len(q.Returns))
	all = append(all, q.HolderID, q.StoreID, q.EchoedTime.Microseconds(), formatNumber(q.ReservedFraction), q.LastToken, r.Term.Microseconds(), r.ReservationTime.Microseconds(), len(q.Requests))
	for _, w := range q.Requests {
		all = append(all, w.Key, formatNumber(w.Limit.Rate), formatNumber(w.Limit.Burst), formatNumber(w.Units), formatNumber(w.MinUnits))
	}
	all = append(all, len(q.Returns))
	for _, g := range q.Returns {
		all = append(all, g.Key, g.Token, formatNumber(g.Units))
	}
	return all
}

var errMalformedReply = errors.New("its answer can't be read")

// DecodeReply reads the script's answer.
func DecodeReply(raw []string) (a quotalease.StoreReply, err error) {
	if len(raw) < 3 || len(raw)%3 != 0 || raw[0] == "" {
		return a, errMalformedReply
	}
	now, err := strconv.ParseInt(raw[1], 10, 64)
	if err != nil || now < 0 || now > 1<<52 {
		return a, fmt.Errorf("%w: time %q", errMalformedReply, raw[1])
	}
	a = quotalease.StoreReply{StoreID: raw[0], StoreTime: time.Duration(now) * time.Microsecond, IsLending: raw[2] == "1"}
	for raw = raw[3:]; len(raw) > 0; raw = raw[3:] {
		g := quotalease.Grant{Key: raw[0]}
		if g.Token, err = strconv.ParseUint(raw[1], 10, 53); err != nil {
			return a, fmt.Errorf("%w: token %q", errMalformedReply, raw[1])
		}
		if g.Units, err = strconv.ParseFloat(raw[2], 64); err != nil || !(g.Units > 0 && g.Units < 1e15) {
			return a, fmt.Errorf("%w: %q units", errMalformedReply, raw[2])
		}
		a.Grants = append(a.Grants, g)
	}
	return a, nil
}
