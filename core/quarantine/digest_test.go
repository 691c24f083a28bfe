package quarantine

import "testing"

// Guards against a request whose digest depends on the segments in which its body arrived, which
// would not be recognised when it is sent again.
func TestDigestSegmented(t *testing.T) {
	want := Digest([]byte("POST"), []byte("season plan"), nil)
	for _, body := range [][][]byte{{[]byte("season plan")}, {[]byte("season "), []byte("plan")}, {nil, []byte("s"), []byte("eason plan")}} {
		if got := DigestSegmented([][]byte{[]byte("POST")}, body, nil); got != want {
			t.Errorf("%q: %s, want %s", body, got, want)
		}
	}
	if got := DigestSegmented([][]byte{[]byte("POST")}, [][]byte{[]byte("season")}, [][]byte{[]byte(" plan")}, nil); got == want {
		t.Error("parts with another split have the same digest")
	}
}
