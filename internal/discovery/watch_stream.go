package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

const maxMessageBytes = 4 << 20

// watchStream reads the response body of a watch: JSON objects, which may extend over several lines, separated by
// heartbeats, which are empty lines.
type watchStream struct {
	*watcher
	body         io.Reader
	decoder      *json.Decoder // reads through Read
	silenceTimer *time.Timer   // cancels the watch when it fires
	hasData      bool          // any byte has arrived
	isMidMessage bool          // a message has started but not ended
	bytesRead    int64
}

func newWatchStream(w *watcher, body io.Reader, silenceTimer *time.Timer) *watchStream {
	s := &watchStream{watcher: w, body: body, silenceTimer: silenceTimer}
	s.decoder = json.NewDecoder(s)
	return s
}

// readMessages applies messages until the watch ends or fails. An end of the response body is not an error.
func (s *watchStream) readMessages() error {
	for isFirst := true; ; isFirst = false {
		var list EndpointList
		if err := s.decoder.Decode(&list); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		buffered, _ := io.ReadAll(s.decoder.Buffered())
		s.isMidMessage = len(bytes.TrimSpace(buffered)) > 0
		if err := s.apply(list, isFirst); err != nil {
			return err
		}
	}
}

// Read supplies the decoder with data. It limits the size of a message, counted from the end of the previous one, and
// restarts the silence timer. Heartbeats within a message don't restart the timer, because they would keep a watch open
// whose message was cut off.
func (s *watchStream) Read(p []byte) (int, error) {
	if s.bytesRead-s.decoder.InputOffset() > maxMessageBytes {
		return 0, fmt.Errorf("discovery message exceeds %d bytes", maxMessageBytes)
	}
	n, err := s.body.Read(p)
	if n > 0 {
		s.bytesRead += int64(n)
		s.hasData = true
		if hasText := len(bytes.TrimSpace(p[:n])) > 0; hasText || !s.isMidMessage {
			s.isMidMessage = hasText
			s.lastReceived = time.Now()
			s.silenceTimer.Reset(s.silenceTimeout)
		}
	}
	return n, err
}
