package redistest

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// read reads a command: an array of bulk strings.
func read(in *bufio.Reader) ([]string, error) {
	n, err := length(in, '*')
	if err != nil || n < 1 || n > 1<<20 {
		return nil, fmt.Errorf("an array of %d: %w", n, err)
	}
	args := make([]string, n)
	for i := range args {
		size, err := length(in, '$')
		if err != nil || size < 0 || size > 1<<20 {
			return nil, fmt.Errorf("a string of %d: %w", size, err)
		}
		raw := make([]byte, size+2)
		if _, err := io.ReadFull(in, raw); err != nil {
			return nil, err
		}
		args[i] = string(raw[:size])
	}
	return args, nil
}

func length(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("%q where %q was due", line, kind)
	}
	return strconv.Atoi(strings.TrimRight(line[1:], "\r\n"))
}

type status string

func encode(b []byte, reply any) []byte {
	switch v := reply.(type) {
	case nil:
		return append(b, "$-1\r\n"...)
	case error:
		return append(b, "-"+v.Error()+"\r\n"...)
	case status:
		return append(b, "+"+string(v)+"\r\n"...)
	case int:
		return append(b, ":"+strconv.Itoa(v)+"\r\n"...)
	case string:
		return append(b, "$"+strconv.Itoa(len(v))+"\r\n"+v+"\r\n"...)
	case []any:
		b = append(b, "*"+strconv.Itoa(len(v))+"\r\n"...)
		for _, e := range v {
			b = encode(b, e)
		}
		return b
	}
	panic(fmt.Sprintf("a reply of %T", reply))
}
