// Package faultnet injects faults into processes of the program and into the network links between
// them. A script, which is generated from a seed, lists the faults; links, which are proxies, and
// processes, which can be killed and paused, carry them out. Calls and their results are recorded in
// a history, which is checked afterwards (internal/trials/faultnet/history). The package is used by
// tests and measurements only.
package faultnet

import (
	"lockflow/internal/trials/faultnet/history"
	"lockflow/internal/trials/faultnet/link"
	"lockflow/internal/trials/faultnet/process"
	"lockflow/internal/trials/faultnet/script"
)

type (
	// Script is a list of faults in order of time.
	Script = script.Script
	// Spec contains the parameters of the scripts that Draw generates.
	Spec = script.Spec
	// Entry is a fault with its place and time.
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

// Draw generates the script of a seed.
func Draw(seed uint64, o Spec) Script { return script.Draw(seed, o) }

// Parse parses the text of Script.String.
func Parse(text string) (Script, error) { return script.Parse(text) }

// Shrink returns the smallest script it finds that still fails. It runs at most 200 scripts.
func Shrink(s Script, fails func(Script) bool) Script { return script.Shrink(s, fails) }

// Listen starts a link to host:port or to the path of a Unix socket.
func Listen(to string) (*Link, error) { return link.Listen(to) }
