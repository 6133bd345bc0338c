package state

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lockflow/control"
	"lockflow/internal/codec"
	"lockflow/internal/service"
)

func sampleCheckpoint(customers int) Checkpoint {
	c := control.Checkpoint{
		Version: control.CheckpointVersion, At: time.Hour, ConcurrencyLimit: 12.5,
		Servers: []control.ServerCheckpoint{{Server: 3, Latency: 0.1, PlanRejectedUntil: map[string]time.Duration{"p": time.Second}}},
	}
	for i := range customers {
		c.Customers = append(c.Customers, control.CustomerCheckpoint{
			ID:          fmt.Sprint(i),
			Plan:        "p",
			QuotaTokens: -1.5,
			FanOut:      2,
			Sent:        []control.BinAmount{{Bin: 9, Amount: 2}},
		})
	}
	return Checkpoint{Version: Version, TakenAt: time.Unix(1e9, 0).UTC(), Generation: 4, Services: map[string]service.State{
		"a": {Checkpoint: c, Servers: map[uint32]string{3: "s-3"}},
	}}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	want := sampleCheckpoint(3)
	raw, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(raw)
	if err != nil || !got.TakenAt.Equal(want.TakenAt) {
		t.Fatal(got.TakenAt, err)
	}
	if got.TakenAt = want.TakenAt; !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
}

// Decode rejects a checkpoint that has any byte changed or added or is truncated, and returns an empty one.
func TestDecodeRejectsDamagedData(t *testing.T) {
	raw, err := Encode(sampleCheckpoint(2))
	if err != nil {
		t.Fatal(err)
	}
	for i := range raw {
		bad := bytes.Clone(raw)
		bad[i] ^= 0x20
		if checkpoint, err := Decode(bad); err == nil || checkpoint.Services != nil {
			t.Errorf("byte %d changed: decoded %+v", i, checkpoint)
		}
		if _, err := Decode(raw[:i]); err == nil {
			t.Errorf("no error after truncation to %d bytes", i)
		}
	}
	if _, err := Decode(append(bytes.Clone(raw), 0)); err == nil {
		t.Error("no error with an additional byte")
	}
	otherVersion := withChecksum([]byte{0xa1, 0x67, 'v', 'e', 'r', 's', 'i', 'o', 'n', 2})
	if _, err := Decode(otherVersion); !errors.Is(err, VersionError{2}) || !strings.Contains(err.Error(), "unsupported version 2, expected 1") {
		t.Errorf("another version: error %v", err)
	}
}

func withChecksum(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte(fileMagic), codec.Checksum(body)), body...)
}

// Encode drops the least recently active customers from a checkpoint that is too large.
func TestEncodeDropsOldestCustomersOfLargeCheckpoint(t *testing.T) {
	checkpoint := sampleCheckpoint(0)
	serviceState := checkpoint.Services["a"]
	padding := strings.Repeat("x", 1<<20)
	for i := range 40 {
		serviceState.Checkpoint.Customers = append(serviceState.Checkpoint.Customers, control.CustomerCheckpoint{ID: fmt.Sprint(i, padding), Plan: "p"})
	}
	checkpoint.Services["a"] = serviceState
	raw, err := Encode(checkpoint)
	if err != nil || len(raw) > maxSize+64 {
		t.Fatal(len(raw), err)
	}
	got, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	if customers := got.Services["a"].Checkpoint.Customers; len(customers) != 20 || !strings.HasPrefix(customers[0].ID, "0") {
		t.Errorf("%d customers are left, want the 20 most recent", len(customers))
	}
}

func FuzzDecode(f *testing.F) {
	raw, _ := cbor.Marshal(sampleCheckpoint(2))
	f.Add(raw)
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		checkpoint, err := Decode(withChecksum(body))
		if err != nil {
			return
		}
		if _, err := Encode(checkpoint); err != nil {
			t.Errorf("encoding the decoded checkpoint: %v", err)
		}
	})
}

func TestStoreLocksDirectoryAndMarksCheckpointConsumed(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new", "dir")
	store, err := Open(dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	var locked *LockedError
	if _, err := Open(dir, nil); !errors.As(err, &locked) || !strings.Contains(err.Error(), fmt.Sprint("is locked by another daemon: process ", os.Getpid())) {
		t.Errorf("Open of a locked directory: error %v", err)
	}
	if _, found, err := store.Consume(); found || err != nil {
		t.Errorf("Consume without a checkpoint: found %v, error %v", found, err)
	}
	clean := sampleCheckpoint(1)
	clean.Clean = true
	if err := store.Save(clean); err != nil {
		t.Fatal(err)
	}
	for i, want := range []bool{true, false} { // the second Consume is like the start after a crash
		got, found, err := store.Consume()
		if err != nil || !found || got.Clean != want || got.Generation != 4 {
			t.Errorf("start %d: checkpoint %+v, found %v, error %v", i, got, found, err)
		}
	}
	if err := os.WriteFile(store.path(), []byte("half a sta"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, found, err := store.Consume(); !found || err == nil {
		t.Errorf("Consume of a damaged file: found %v, error %v", found, err)
	}
	if err := store.Close(); err != nil {
		t.Error(err)
	}
	if store, err = Open(dir, nil); err != nil { // the lock was released by Close
		t.Fatal(err)
	}
	defer store.Close()
	if _, err := Open("/proc/no/such", nil); err == nil {
		t.Error("no error for a directory that can't be created")
	}
}
