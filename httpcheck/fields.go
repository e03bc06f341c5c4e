package httpcheck

import (
	"fmt"
	"net/http"
	"strings"
)

// CheckFields returns an error that wraps ErrInvalid if the name of a field in a head or a trailer is no
// token. http.ReadResponse accepts blanks in names, so that it ignores a length or an encoding that is
// stated with one.
func CheckFields(fields http.Header) error {
	for name, values := range fields {
		if len(values) == 0 {
			continue // announced for the trailer, but not there
		}
		if name == "" {
			return errName(name)
		}
		for i := range len(name) {
			if !isNameByte(name[i]) {
				return errName(name)
			}
		}
	}
	return nil
}

// isNameByte reports whether the name of a field may contain the byte.
func isNameByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// maxNameShown is how many bytes of an invalid name an error shows.
const maxNameShown = 40

func errName(name string) error {
	return fmt.Errorf("%w: %q in the name of a field", ErrInvalid, name[:min(len(name), maxNameShown)])
}
