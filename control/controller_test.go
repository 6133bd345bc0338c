package control

import (
	"testing"
	"time"
)

func TestFirstEventStartsTheTimer(t *testing.T) {
	controller, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []int{1, 0} {
		timers := 0
		for _, action := range controller.Handle(time.Hour, PeerMessage{}) {
			if timer, ok := action.(StartTimer); ok && timer == (StartTimer{After: tickPeriod, Label: tickTimerLabel}) {
				timers++
			}
		}
		if timers != want {
			t.Errorf("started %d tick timers after event %d", timers, i+1)
		}
	}
}

func TestTimeDoesNotGoBack(t *testing.T) {
	controller, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	controller.Handle(time.Hour, PeerMessage{})
	controller.Handle(time.Hour+time.Second, PeerMessage{})
	controller.Handle(time.Minute, PeerMessage{})
	if controller.now != time.Hour+time.Second || controller.clockAdvance != time.Second {
		t.Errorf("time is %v after an advance of %v, want 1h0m1s and 1s", controller.now, controller.clockAdvance)
	}
}

func TestWindowWithFewAnswersIsExtended(t *testing.T) {
	controller, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	controller.windowEndsAt = time.Hour
	for _, tc := range []struct {
		after   time.Duration
		answers float64
		want    bool
	}{
		{-1, 100, false},
		{0, minAnswersPerWindow - 1, false},
		{0, minAnswersPerWindow, true},
		{maxWindowExtension - 1, 0, false},
		{maxWindowExtension, 0, true},
	} {
		controller.now = time.Hour + tc.after
		controller.window.answers = tc.answers
		if got := controller.isWindowDue(); got != tc.want {
			t.Errorf("window with %g answers, %v after its end: isWindowDue is %v", tc.answers, tc.after, got)
		}
	}
}
