package control

import (
	"math"
	"strings"
	"testing"
)

func TestNewNamesTheInvalidSetting(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"classes":    func(settings *Settings) { settings.Classes = nil },
		"plans":      func(settings *Settings) { settings.Plans = nil },
		"self index": func(settings *Settings) { settings.SelfIndex = 2 },
		"group size": func(settings *Settings) { settings.GroupSize = 0 },
		"rate":       func(settings *Settings) { settings.Plans[0].QuotaRate = -1 },
		"price":      func(settings *Settings) { settings.Plans[1].Price = math.NaN() },
		"depth":      func(settings *Settings) { settings.Plans[1].QuotaBurst = math.Inf(1) },
		"aim":        func(settings *Settings) { settings.Classes[0].LatencyObjective = 0 },
	} {
		settings := testSettings()
		invalidate(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: New returned error %v, want one that names the setting", field, err)
		}
	}
}
