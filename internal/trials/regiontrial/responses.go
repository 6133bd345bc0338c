package regiontrial

import (
	"io"
	"net/http"
	"strings"

	"lockflow/internal/testsupport/fake"
)

// checkResponse checks a final answer against what is allowed for its request.
func (c *client) checkResponse(q request, response *http.Response, body string) {
	isExcused := c.fixture.isExcused(c.node, c.connectedAt)
	c.mu.Lock()
	c.statusCounts[response.StatusCode]++
	c.mu.Unlock()
	switch response.StatusCode {
	case http.StatusOK:
		c.checkSuccess(q, response, body)
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
	case http.StatusBadRequest, http.StatusRequestTimeout:
		if !isExcused { // a fault may have cut the request off
			c.exchanges.Wrong("request %s: answered %d, and it came whole", q.id, response.StatusCode)
		}
	case http.StatusInternalServerError:
		if !c.isHarmRunning.Load() || q.path != pathWrite {
			c.exchanges.Wrong("request %s: answered 500, which no server has said", q.id)
		}
		c.mu.Lock()
		c.failedByHarm++
		c.mu.Unlock()
	default:
		c.exchanges.Wrong("request %s: answered %d by %s", q.id, response.StatusCode, memberName(c.node))
	}
}

// checkSuccess checks a response with status 200.
func (c *client) checkSuccess(q request, response *http.Response, body string) {
	if parts := response.Header.Get("Lockflow-Parts"); parts != "" {
		c.checkGathered(q, parts, response.Header.Get("Lockflow-Missing"), body)
		return
	}
	if q.path == pathVisits {
		c.exchanges.Wrong("request %s: a gathered answer that claims nothing: %.80q", q.id, body)
		return
	}
	if _, hasEffect := c.effects.Load(q.id); q.path == pathWrite && !hasEffect {
		c.exchanges.Wrong("request %s: answered 200, and no server has had it", q.id)
	}
	var expected strings.Builder
	_, _ = io.Copy(&expected, fake.PatternReader(q.responseBytes))
	if id := response.Header.Get(headerID); id != q.id || body != expected.String() {
		c.exchanges.Wrong("request %s: an answer to %q of %d bytes instead of %d, or with others in it", q.id, id, len(body), q.responseBytes)
	}
}

// checkGathered checks a gathered result against its headers.
func (c *client) checkGathered(q request, parts, missing, body string) {
	c.mu.Lock()
	c.gatherResults++
	if missing != "" {
		c.partialResults++
	}
	c.mu.Unlock()
	region := regionNames[c.node/c.options.NodesPerRegion]
	if err := CheckGatherResult(region, q.id, parts, missing, body); err != nil || q.path == pathWrite {
		c.exchanges.Wrong("request %s for %s: %v", q.id, q.path, err)
	}
}
