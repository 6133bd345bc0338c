// Package faultnet injects faults into the links between processes of the program and into the
// processes: by scripts drawn from a seed, links that carry the faults out, and processes that are
// killed and paused. Calls and results are recorded in a history and checked
// afterwards (internal/trials/faultnet/history). It is used by tests and measurements only.
package faultnet

import (
	"lockflow/internal/trials/faultnet/history"
	"lockflow/internal/trials/faultnet/link"
	"lockflow/internal/trials/faultnet/process"
	"lockflow/internal/trials/faultnet/script"
)

type (
	// Script is a list of faults, by time.
	Script = script.Script
	// Spec has the limits of drawn scripts.
	Spec = script.Spec
	// Entry is a fault and its time.
	Entry = script.Entry
	// Fault is one fault of a link or of a process.
	Fault = script.Fault
	// Link is a proxy that forwards connections subject to its faults.
	Link = link.Link
	// Process is a program that is started, paused and killed.
	Process = process.Process
	// History records calls and their results.
	History = history.History
)

// Draw gives the script of a seed.
func Draw(seed uint64, o Spec) Script { return script.Draw(seed, o) }

// Parse reads a script that was printed.
func Parse(text string) (Script, error) { return script.Parse(text) }

// Shrink gives the least script it finds that still fails, in at most 200 tries.
func Shrink(s Script, fails func(Script) bool) Script { return script.Shrink(s, fails) }

// Listen starts a link to host:port or to the path of a Unix socket.
func Listen(to string) (*Link, error) { return link.Listen(to) }
