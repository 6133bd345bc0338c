package redistest

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Limits on the size of a command.
const (
	maxArguments     = 1 << 20
	maxArgumentBytes = 1 << 20
)

// status is a simple string reply, such as OK.
type status string

// readCommand reads a command, which is an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	n, err := readLength(in, '*')
	if err != nil || n < 1 || n > maxArguments {
		return nil, fmt.Errorf("reading a command: array length %d: %w", n, err)
	}
	args := make([]string, n)
	for i := range args {
		size, err := readLength(in, '$')
		if err != nil || size < 0 || size > maxArgumentBytes {
			return nil, fmt.Errorf("reading a command: bulk string length %d: %w", size, err)
		}
		raw := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(in, raw); err != nil {
			return nil, err
		}
		args[i] = string(raw[:size])
	}
	return args, nil
}

// readLength reads the length line of an array ('*') or a bulk string ('$').
func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("got line %q, want one that begins with %q", line, kind)
	}
	return strconv.Atoi(strings.TrimRight(line[1:], "\r\n"))
}

// appendReply appends the RESP encoding of a reply as returned by Do.
func appendReply(encoded []byte, reply any) []byte {
	switch reply := reply.(type) {
	case nil:
		return append(encoded, "$-1\r\n"...)
	case error:
		return append(encoded, "-"+reply.Error()+"\r\n"...)
	case status:
		return append(encoded, "+"+string(reply)+"\r\n"...)
	case int:
		return append(encoded, ":"+strconv.Itoa(reply)+"\r\n"...)
	case string:
		return append(encoded, "$"+strconv.Itoa(len(reply))+"\r\n"+reply+"\r\n"...)
	case []any:
		encoded = append(encoded, "*"+strconv.Itoa(len(reply))+"\r\n"...)
		for _, item := range reply {
			encoded = appendReply(encoded, item)
		}
		return encoded
	}
	panic(fmt.Sprintf("cannot encode a reply of type %T", reply))
}
