package scattergather

import (
	"context"
	"fmt"
	"io"
	"strings"

	"lockflow/control"
	"lockflow/internal/service"
	"lockflow/internal/upstream"
)

// isQuotaRejection tells whether an answer is a module's word that the customer has no more to spend.
func isQuotaRejection(a service.Answer) bool {
	if a.Kind != service.Rejected {
		return false
	}
	switch a.Cause {
	case control.CauseHardLimit, control.CauseQuota, control.CauseProbability:
		return true
	}
	return false
}

// readResult takes an answer in, to its end. Whatever is not a whole answer that can be merged holds nothing.
func (c *Call) readResult(ctx context.Context, a service.Answer, m Merge) (Result, error) {
	s := a.Stream
	if s != nil {
		defer s.Close()
	}
	switch encoding := a.Header["Content-Encoding"]; {
	case a.Kind != service.Served || a.Header == nil || a.Status != 200:
		return Result{}, fmt.Errorf("status %d", a.Status)
	case len(encoding) > 0 && !strings.EqualFold(strings.Join(encoding, ","), "identity"):
		return Result{}, fmt.Errorf("encoded as %q", encoding)
	}
	present, of, without, err := ParsePartsHeaders(a.Header[HeaderParts], a.Header[HeaderMissing])
	if err != nil {
		return Result{}, err
	}
	body := a.Body
	if s != nil {
		if body, err = readAll(ctx, s, c.MaxBytes); err != nil {
			return Result{}, err
		}
	}
	content, err := m.Check(body)
	if err != nil {
		return Result{}, err
	}
	return Result{Content: content, Present: present, Total: of, Missing: without}, nil
}

// readAll reads a stream to its end, until ctx ends.
func readAll(ctx context.Context, s *upstream.Stream, maxBytes int) ([]byte, error) {
	if s.IsTunnel || s.ContentLength > int64(maxBytes) {
		return nil, fmt.Errorf("%d bytes are more than %d", s.ContentLength, maxBytes)
	}
	defer context.AfterFunc(ctx, s.Abort)()
	body, err := io.ReadAll(io.LimitReader(s, int64(maxBytes)+1))
	if err == nil && len(body) > maxBytes {
		err = fmt.Errorf("more than %d bytes", maxBytes)
	}
	return body, err
}
