// Package faultnet has faults befall what goes on between processes of the program, and the
// processes themselves: by scripts that a seed draws, links between processes that obey them, and
// processes that are killed and paused. What was said is recorded in a history and checked
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
	// Spec is what scripts are drawn by.
	Spec = script.Spec
	// Entry is a fault and its time.
	Entry = script.Entry
	// Fault is what is done to a link or a process.
	Fault = script.Fault
	// Link passes connections on, and bytes as its faults let it.
	Link = link.Link
	// Process is a program that is started, paused and killed.
	Process = process.Process
	// History notes calls and what came of them.
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
