package waitpolicy

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// observe reports n outcomes of a part to a model. The durations have the given median; those longer than
// abandonedAfter are censored.
func observe(m *Model, rng *rand.Rand, n int, class string, part int, median, abandonedAfter time.Duration) {
	for range n {
		o := Outcome{Duration: time.Duration(float64(median) * math.Exp(0.5*rng.NormFloat64()))}
		if o.Duration > abandonedAfter {
			o = Outcome{Duration: abandonedAfter, Censored: true}
		}
		m.Observe(class, part, 0.5, o)
	}
}

func TestBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "delay"))
		i := Bucket(d)
		if d >= Edge(i) || i > 0 && d < Edge(i-1) {
			t.Fatalf("duration %v is counted in bucket %d, which ends at %v", d, i, Edge(i))
		}
	})
}

// A sketch with many abandoned parts has the same quantiles as a sketch without any, in the range that was observed. A
// sketch that ignores abandoned parts underestimates them.
func TestAbandonedPartsCountAsCensored(t *testing.T) {
	complete, censored, rng := new(Sketch), new(decayingSketch), rand.New(rand.NewPCG(1, 1))
	answeredOnly := new(Sketch)
	for range 20000 {
		duration := time.Duration(200 * math.Exp(0.6*rng.NormFloat64()) * float64(ms))
		complete.Answered[Bucket(duration)]++
		if abandonedAt := time.Duration(rng.IntN(400)+20) * ms; duration > abandonedAt {
			censored.add(Outcome{Duration: abandonedAt, Censored: true}, 1e9, 0)
			continue
		}
		censored.add(Outcome{Duration: duration}, 1e9, 0)
		answeredOnly.Answered[Bucket(duration)]++
	}
	for _, p := range []float64{0.1, 0.25, 0.5, 0.75} {
		want, got, biased := complete.Quantile(p), censored.Quantile(p), answeredOnly.Quantile(p)
		if r := float64(got) / float64(want); r < 0.95 || r > 1.05 {
			t.Errorf("quantile %g: want %v, got %v from censored outcomes", p, want, got)
		}
		if float64(biased) > 0.9*float64(want) {
			t.Errorf("quantile %g: %v, and %v without abandoned outcomes: the bias is too small for this test", p, want, biased)
		}
	}
}

// A part that becomes three times as slow, or as fast, is detected within 40 outcomes, and 24 outcomes later the
// forecast has adapted. Without a change there are few detections.
func TestChangeIsDetected(t *testing.T) {
	for name, factor := range map[string]float64{"slower": 3, "faster": 1.0 / 3} {
		for _, abandonedAfter := range []time.Duration{time.Hour, 150 * ms} { // most of the slower outcomes are abandoned then
			maxOutcomes, totalOutcomes, errorSum := 0, 0, 0.0
			for seed := range uint64(50) {
				m, rng := NewModel(newSettings(0.5, 1), Options{}), rand.New(rand.NewPCG(seed, 1))
				newMedian := time.Duration(factor * float64(100*ms))
				m.Forecast("c", 0.5)
				for range 600 {
					observe(m, rng, 1, "c", 0, 100*ms, abandonedAfter)
					m.Forecast("c", 0.5)
				}
				changesBefore, n := m.Stats().Changes, 0
				for ; m.Stats().Changes == changesBefore && n < 1000; n++ {
					observe(m, rng, 1, "c", 0, newMedian, abandonedAfter)
				}
				maxOutcomes, totalOutcomes = max(maxOutcomes, n), totalOutcomes+n
				observe(m, rng, 24, "c", 0, newMedian, abandonedAfter)
				errorSum += math.Log2(float64(m.Forecast("c", 0.5).Quantile(0, 0.5)) / float64(newMedian))
			}
			if t.Logf("%s, abandoned after %v: change detected after at most %d outcomes, %d in the mean", name, abandonedAfter, maxOutcomes, totalOutcomes/50); maxOutcomes > 40 {
				t.Error("change was detected after more than 40 outcomes")
			}
			if abandonedAfter == time.Hour && math.Abs(errorSum/50) > 0.2 {
				t.Errorf("%s: forecast median deviates by %.2f doublings", name, errorSum/50)
			}
		}
	}
	m, rng := NewModel(newSettings(0.5, 1), Options{}), rand.New(rand.NewPCG(9, 1))
	for range 100_000 {
		observe(m, rng, 1, "c", 0, 100*ms, 150*ms)
		m.Forecast("c", 0.5)
	}
	if n := m.Stats().Changes; n > 15 {
		t.Errorf("%d changes detected without a change", n)
	}
}

// Outcomes of the previous day have no weight.
func TestOldOutcomesAreForgotten(t *testing.T) {
	m, rng := NewModel(newSettings(0.5, 1, 1), Options{}), rand.New(rand.NewPCG(1, 1))
	at := time.Hour
	for range 500 {
		m.Observe("c", 0, 0, Outcome{At: at, Duration: 3 * time.Second})
		at += time.Second
	}
	at += 24 * time.Hour
	for range 6 {
		m.Observe("c", 0, 0, Outcome{At: at, Duration: time.Duration(90+rng.IntN(20)) * ms})
	}
	if d := m.Forecast("c", 0).Quantile(0, 0.5); d > 150*ms {
		t.Errorf("forecast median is %v, want at most 150 ms", d)
	}
}

// The correlation of the parts is learned.
func TestCorrelationIsLearned(t *testing.T) {
	for _, correlation := range []float64{0, 0.7} {
		m, rng := NewModel(newSettings(0.2, 1, 1, 1, 1), Options{Explore: -1}), rand.New(rand.NewPCG(1, 1))
		var q Query
		for i := range 3000 {
			now := time.Duration(i+1) * time.Second
			m.Begin(&q, "c", 0, now, 0)
			common, durations := rng.NormFloat64(), [4]time.Duration{}
			for p := range durations {
				durations[p] = time.Duration(100 * math.Exp(0.8*(math.Sqrt(correlation)*common+math.Sqrt(1-correlation)*rng.NormFloat64())) * float64(ms))
			}
			end := 150 * ms // later parts are abandoned
			for p, d := range durations {
				if d <= end {
					q.PartCompleted(now+d, p, true)
				}
				m.Observe("c", p, 0, Outcome{At: now, Duration: min(d, end), Censored: d > end})
			}
			m.Done(&q, "c", now+end)
		}
		if got := m.Forecast("c", 0).Correlation(); math.Abs(got-correlation) > 0.15 {
			t.Errorf("correlation %g is estimated as %.2f", correlation, got)
		}
	}
}

// Exploring costs no more of the answers' value than its budget and the credit of one query.
func TestExploringIsBudgeted(t *testing.T) {
	m := NewModel(newSettings(0.5, 1, 1), Options{Seed: 1})
	var q Query
	for i := range 5000 {
		now := time.Duration(i+1) * time.Second
		m.Begin(&q, "c", 0, now, 0)
		q.PartCompleted(now+10*ms, 0, true)
		m.Observe("c", 0, 0, Outcome{Duration: 10 * ms})
		at := now + 10*ms
		step := q.Next(at)
		for ; step.Kind == Wait; step = q.Next(at) {
			at = step.Until
		}
		m.Observe("c", 1, 0, Outcome{Duration: at - now, Censored: true}) // the part never answers
		m.Done(&q, "c", at)
	}
	stats := m.Stats()
	if stats.Explored < 20 || stats.ExploreCost > 0.01*5000+2 {
		t.Errorf("%+v", stats)
	}
}

func TestModelSizeIsLimited(t *testing.T) {
	settings := newSettings(0.5, make([]float64, 20)...)
	m := NewModel(settings, Options{})
	for i := range 200 {
		name := strings.Repeat("c", i%300) + fmt.Sprint(i)
		for p := range 20 {
			for load := range Loads {
				m.Observe(name, p, float64(load)/Loads, Outcome{Duration: ms})
			}
		}
		m.Observe(name, 20, 0, Outcome{Duration: ms})
		m.Observe(name, -1, 0, Outcome{Duration: ms})
		m.Forecast(name, 7)
	}
	if stats := m.Stats(); stats.Classes > MaxClasses || stats.Sketches > MaxSketches {
		t.Errorf("%+v", stats)
	}
	if raw, err := m.Shared(); err != nil || len(raw) > MaxSharedBytes {
		t.Errorf("shared sketches have %d bytes: %v", len(raw), err)
	}
}

func newTrainedModel(class string) *Model {
	m, rng := NewModel(newSettings(0.5, 1, 1), Options{}), rand.New(rand.NewPCG(1, 1))
	observe(m, rng, 300, class, 0, 100*ms, 200*ms)
	observe(m, rng, 300, class, 1, 400*ms, 300*ms)
	m.classes[class].pairMoment, m.classes[class].squareMoment = 20, 50
	return m
}

func TestEncodeAndRestore(t *testing.T) {
	original := newTrainedModel("c")
	raw, err := original.Encode()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewModel(newSettings(0.5, 1, 1, 1), Options{}) // with a new part
	if err := restored.Restore(raw, 0); err != nil {
		t.Fatal(err)
	}
	for p := range 2 {
		for _, share := range []float64{0.1, 0.25, 0.5} {
			if a, b := original.Forecast("c", 0.5).Quantile(p, share), restored.Forecast("c", 0.5).Quantile(p, share); a != b {
				t.Errorf("part %d, quantile %g: %v, and %v after restoring", p, share, a, b)
			}
		}
	}
	if f := restored.Forecast("c", 0.5); f.IsKnown() || math.Abs(f.Correlation()-0.4) > 1e-9 {
		t.Errorf("restored forecast: known %v, correlation %g", f.IsKnown(), f.Correlation())
	}
	expired := NewModel(newSettings(0.5, 1, 1), Options{})
	if err := expired.Restore(raw, 48*time.Hour); err != nil || expired.Stats().Sketches > 0 {
		t.Errorf("restored after two days: %v, %+v", err, expired.Stats())
	}
	if reencoded, _ := original.Encode(); !bytes.Equal(raw, reencoded) {
		t.Error("two encodings of the same model differ")
	}
	for i := range raw { // each single corrupted byte, and each truncation
		corrupted := bytes.Clone(raw)
		corrupted[i] ^= 1 << (i % 8)
		if expired.Restore(corrupted, 0) == nil || expired.Restore(raw[:i], 0) == nil {
			t.Fatalf("corruption or truncation at byte %d of %d was accepted", i, len(raw))
		}
	}
	if expired.Stats().Sketches > 0 {
		t.Error("corrupted sketches were restored")
	}
}

// Records that are decoded from any body with a valid checksum are valid, and can be encoded and restored.
func FuzzDecode(f *testing.F) {
	raw, _ := newTrainedModel("c").Encode()
	f.Add(raw[len(magic)+4:])
	f.Fuzz(func(t *testing.T, body []byte) {
		state, err := decode(withChecksum(body), MaxStateBytes)
		m := NewModel(newSettings(0.5, 1, 1), Options{})
		if (m.Restore(withChecksum(body), 0) == nil) != (err == nil) {
			t.Fatal("decode and Restore disagree on validity")
		}
		for i := range state.Records {
			if k := state.Records[i].Key(); k.Class == "" || k.Load > AllLoads {
				t.Fatalf("invalid key %+v", k)
			}
		}
		if reencoded, err := m.Encode(); err != nil {
			t.Fatal(err)
		} else if err := m.Restore(reencoded, 0); err != nil {
			t.Fatal(err)
		}
		m.Forecast("c", 0)
	})
}
