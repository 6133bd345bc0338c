package retrybuffer

import "io"

// FromBytes makes a body that is here whole. It is not copied, and may be that of several bodies.
func FromBytes(whole []byte) *Body {
	b := New(nil, len(whole), nil)
	b.held, b.total, b.err = whole, int64(len(whole)), io.EOF
	return b
}
