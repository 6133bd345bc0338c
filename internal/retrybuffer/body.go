package retrybuffer

import "io"

// FromBytes makes a body that is here whole. It is not copied, and may be that of several bodies.
func FromBytes(complete []byte) *Body {
	b := New(nil, len(complete), nil)
	b.buffered, b.totalRead, b.err = complete, int64(len(complete)), io.EOF
	return b
}
