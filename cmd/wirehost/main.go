// Command wirehost runs instances of the control module behind the text protocol of
// package wire, on standard input and output. It makes no decisions of its own.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"lockflow/control"
	"lockflow/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// run replies to each batch of inputs until the end of the input.
func run(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(in)
	w := bufio.NewWriterSize(out, 1<<16)
	hosted := make(map[int]*control.Controller)
	var buf []byte
	for {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		buf = buf[:0]
		for _, in := range batch.Inputs {
			buf = step(buf, hosted, batch.Now, in)
		}
		if _, err := w.Write(wire.AppendEnd(buf)); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// step passes one input to its instance and appends the instance's actions to buf.
// A panic of the module is reported as a bail_out of that instance.
func step(buf []byte, hosted map[int]*control.Controller, now time.Duration, in wire.Input) (res []byte) {
	res = buf
	defer func() {
		if p := recover(); p != nil {
			res = wire.AppendModuleFailure(buf, in.Instance, fmt.Sprint("panic: ", p))
		}
	}()
	switch {
	case in.Open != nil:
		delete(hosted, in.Instance)
		c, err := control.New(in.Open.Settings, in.Open.Seed)
		if err != nil {
			return wire.AppendModuleFailure(res, in.Instance, err.Error())
		}
		hosted[in.Instance] = c
	case in.PowerOff:
		delete(hosted, in.Instance)
	default:
		c := hosted[in.Instance]
		if c == nil {
			return res
		}
		for _, a := range c.Handle(now, in.Event) {
			res = wire.AppendAction(res, in.Instance, a)
		}
	}
	return res
}
