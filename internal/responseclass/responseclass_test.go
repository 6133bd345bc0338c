package responseclass

import (
	"net/http"
	"testing"

	"lockflow/control"
)

func TestClassify(t *testing.T) {
	rules := DefaultRules()
	for _, p := range []string{"429", "X-Unprocessed: 1", "x-shed"} {
		proof, err := ParseProof(p)
		if err != nil {
			t.Fatal(err)
		}
		rules.RejectionProofs = append(rules.RejectionProofs, proof)
	}
	with := func(name, value string) http.Header { return http.Header{name: {value}} }
	for _, tc := range []struct {
		status int
		h      http.Header
		want   Classification
	}{
		{200, nil, Classification{control.OK, true}},
		{204, nil, Classification{control.OK, true}},
		{304, nil, Classification{control.OK, true}},
		{200, with("X-Unprocessed", "1"), Classification{control.OK, true}},
		{404, nil, Classification{control.OK, true}},
		{401, nil, Classification{control.OK, true}},
		{429, nil, Classification{control.RejectedByServer, false}},
		{404, with("X-Shed", "yes"), Classification{control.RejectedByServer, false}},
		{500, nil, Classification{control.Errored, true}},
		{501, nil, Classification{control.OK, true}},
		{505, nil, Classification{control.OK, true}},
		{502, nil, Classification{control.Errored, false}},
		{503, nil, Classification{control.Errored, false}},
		{504, nil, Classification{control.Errored, false}},
		{503, with("X-Unprocessed", "1"), Classification{control.RejectedByServer, false}},
		{503, with("X-Unprocessed", "0"), Classification{control.Errored, false}},
		{599, nil, Classification{control.OK, true}},
	} {
		if got := rules.Classify(tc.status, tc.h); got != tc.want {
			t.Errorf("status %d, header %v: %+v, want %+v", tc.status, tc.h, got, tc.want)
		}
	}
	for _, bad := range []string{"", "200", "600", ": x", "two words: x"} {
		if p, err := ParseProof(bad); err == nil {
			t.Errorf("ParseProof(%q) returned %+v, want an error", bad, p)
		}
	}
}
