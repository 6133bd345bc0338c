// Package leasestore sends the calls of a quotalease.Holder to a Redis server, on which a Lua script implements the
// lease store. It makes no decisions and retries no call.
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

// Number of script arguments that encode each part of a call.
const (
	callArgs    = 9
	requestArgs = 5
	returnArgs  = 3
)

// Number of strings that encode each part of a reply.
const (
	replyHeaderFields = 3
	grantFields       = 3
)

// Limits of the values in a reply.
const (
	maxStoreMicroseconds = 1 << 52
	tokenBits            = 53 // Lua numbers represent integers exactly up to 53 bits
	maxGrantUnits        = 1e15
)

// maxConnections limits the connections to one server.
const maxConnections = 2

// errMalformedReply is wrapped by all errors of DecodeReply.
var errMalformedReply = errors.New("malformed reply")

// Options configure the client of one lease store.
type Options struct {
	Address   string // host:port
	Username  string
	Password  string
	KeyPrefix string // prefix of the store's keys on the server; must be the same at all instances
	Timeout   time.Duration
	Rules     quotalease.Rules
}

// Client makes calls to one lease store. It is safe for concurrent use.
type Client struct {
	options Options
	redis   *redis.Client
	keys    []string // KEYS argument of the script
}

// New returns a client. It connects to the server only when Call is first called.
func New(options Options) *Client {
	return &Client{
		options: options,
		keys:    []string{"{lockflow:" + options.KeyPrefix + "}"},
		redis: redis.NewClient(&redis.Options{
			Addr:                  options.Address,
			Username:              options.Username,
			Password:              options.Password,
			Protocol:              2,
			DisableIdentity:       true,
			MaxRetries:            -1, // a call that is sent twice counts twice, so only the holder may retry
			DialerRetries:         1,
			PoolSize:              maxConnections,
			MaxActiveConns:        maxConnections,
			MaxIdleConns:          1,
			ConnMaxIdleTime:       time.Minute,
			ContextTimeoutEnabled: true,
			DialTimeout:           options.Timeout,
			ReadTimeout:           options.Timeout,
			WriteTimeout:          options.Timeout,
		}),
	}
}

// Close closes the connections; calls in flight fail.
func (c *Client) Close() error { return c.redis.Close() }

// Call makes one call, which is limited to Options.Timeout. Its errors contain the store's address.
func (c *Client) Call(ctx context.Context, call *quotalease.StoreCall) (quotalease.StoreReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	// Run sends a second command only if the server did not have the script cached, and so did not run it.
	raw, err := script.Run(ctx, c.redis, c.keys, EncodeCall(call, c.options.Rules)...).StringSlice()
	if err != nil {
		return quotalease.StoreReply{}, fmt.Errorf("lease store %s: %w", c.options.Address, err)
	}
	reply, err := DecodeReply(raw)
	if err != nil {
		return reply, fmt.Errorf("lease store %s: %w", c.options.Address, err)
	}
	reply.Seq = call.Seq
	return reply, nil
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// EncodeCall returns the script's arguments for a call, with times in microseconds.
func EncodeCall(call *quotalease.StoreCall, rules quotalease.Rules) []any {
	args := make([]any, 0, callArgs+requestArgs*len(call.Requests)+returnArgs*len(call.Returns))
	args = append(args, call.HolderID, call.StoreID, call.EchoedTime.Microseconds(), formatNumber(call.ReservedFraction), call.LastToken)
	args = append(args, rules.Term.Microseconds(), rules.ReservationTime.Microseconds())
	args = append(args, len(call.Requests))
	for _, request := range call.Requests {
		limit := request.Limit
		args = append(args, request.Key, formatNumber(limit.Rate), formatNumber(limit.Burst), formatNumber(request.Units), formatNumber(request.MinUnits))
	}
	args = append(args, len(call.Returns))
	for _, returned := range call.Returns {
		args = append(args, returned.Key, returned.Token, formatNumber(returned.Units))
	}
	return args
}

// DecodeReply decodes the script's reply: the store's identity, its time in microseconds and "1" if it lends,
// followed by the key, token and units of each grant. It does not set Seq, which the reply does not contain.
func DecodeReply(raw []string) (reply quotalease.StoreReply, err error) {
	if len(raw) < replyHeaderFields || (len(raw)-replyHeaderFields)%grantFields != 0 || raw[0] == "" {
		return reply, errMalformedReply
	}
	now, err := strconv.ParseInt(raw[1], 10, 64)
	if err != nil || now < 0 || now > maxStoreMicroseconds {
		return reply, fmt.Errorf("%w: time %q", errMalformedReply, raw[1])
	}
	reply = quotalease.StoreReply{StoreID: raw[0], StoreTime: time.Duration(now) * time.Microsecond, IsLending: raw[2] == "1"}
	for raw = raw[replyHeaderFields:]; len(raw) > 0; raw = raw[grantFields:] {
		grant, err := decodeGrant(raw[0], raw[1], raw[2])
		if err != nil {
			return reply, err
		}
		reply.Grants = append(reply.Grants, grant)
	}
	return reply, nil
}

// decodeGrant decodes the three strings of one grant.
func decodeGrant(key, token, units string) (grant quotalease.Grant, err error) {
	grant.Key = key
	grant.Token, err = strconv.ParseUint(token, 10, tokenBits)
	if err != nil {
		return grant, fmt.Errorf("%w: token %q", errMalformedReply, token)
	}
	grant.Units, err = strconv.ParseFloat(units, 64)
	if err != nil || !(grant.Units > 0 && grant.Units < maxGrantUnits) {
		return grant, fmt.Errorf("%w: %q units", errMalformedReply, units)
	}
	return grant, nil
}
