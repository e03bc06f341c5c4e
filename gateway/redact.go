package gateway

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"strings"

	"github.com/jasminelock/jasminelock/record"
)

// redacted replaces a key in a forwarded request.
const redacted = "[redacted]"

const (
	// minSecretBytes is the minimum length of a presented secret to search for. A shorter
	// one cannot be a key, and would match ordinary text.
	minSecretBytes = 16
	// minKeyTail is the minimum number of characters after record.SecretPrefix for text
	// to count as a key, whether or not it is the caller's.
	minKeyTail = 32
)

// redactor removes keys from requests to an upstream: the secrets that the caller presented
// and any text in the format of a key.
type redactor struct {
	secrets []string
	// encoded are the secrets' representations inside base64 text.
	encoded []string
	// starts marks the bytes that a key can start with in any encoding.
	starts [256]bool
}

// newRedactor returns a redactor for the secrets in the request header.
func newRedactor(h http.Header) *redactor {
	r := &redactor{}
	r.starts[record.SecretPrefix[0]], r.starts['%'], r.starts['\\'] = true, true, true
	for _, secret := range []string{bearer(h), h.Get(headerAPIKey)} {
		if len(secret) < minSecretBytes {
			continue
		}
		r.secrets = append(r.secrets, secret)
		r.encoded = append(r.encoded, insideBase64(secret)...)
	}
	for _, form := range append(r.secrets[:len(r.secrets):len(r.secrets)], r.encoded...) {
		r.starts[form[0]] = true
	}
	return r
}

// insideBase64 returns the representations of a secret inside longer base64 text, in both
// alphabets and at each of the three alignments. They leave out the characters at the ends
// that also encode bits of the neighbouring text.
func insideBase64(secret string) []string {
	var forms []string
	for _, encoding := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
		for lead := range 3 {
			text := encoding.EncodeToString([]byte(strings.Repeat("\x00", lead) + secret))
			from := (lead*8 + 5) / 6
			to := (lead + len(secret)) * 8 / 6
			forms = append(forms, text[from:to])
		}
	}
	return forms
}

// redact returns text with every key replaced by redacted. It does not modify text, and
// returns it as it is if it contains no key.
func (r *redactor) redact(text []byte) []byte {
	var out []byte
	copied := 0
	for i := 0; i < len(text); i++ {
		if !r.starts[text[i]] {
			continue
		}
		n := r.match(text[i:])
		if n == 0 {
			continue
		}
		out = append(out, text[copied:i]...)
		out = append(out, redacted...)
		copied = i + n
		i = copied - 1
	}
	if copied == 0 {
		return text
	}
	return append(out, text[copied:]...)
}

// match returns the length of the key at the start of text, 0 if there is none.
func (r *redactor) match(text []byte) int {
	for _, secret := range r.secrets {
		if n := matchEncoded(text, secret); n > 0 {
			return n
		}
	}
	for _, form := range r.encoded {
		if len(text) >= len(form) && string(text[:len(form)]) == form {
			return len(form)
		}
	}
	return matchAnyKey(text)
}

// matchAnyKey returns the length of the text in the format of a key at the start of text, 0
// if there is none.
func matchAnyKey(text []byte) int {
	n := matchEncoded(text, record.SecretPrefix)
	if n == 0 {
		return 0
	}
	tail := 0
	for n < len(text) {
		c, width := decodeOne(text[n:])
		if !isKeyByte(c) {
			break
		}
		n += width
		tail++
	}
	if tail < minKeyTail {
		return 0
	}
	return n
}

// matchEncoded returns the encoded length of want at the start of text, 0 if text does not
// start with it. Each character may be literal, percent-encoded or a JSON escape.
func matchEncoded(text []byte, want string) int {
	n := 0
	for i := range len(want) {
		if n >= len(text) {
			return 0
		}
		c, width := decodeOne(text[n:])
		if c != want[i] {
			return 0
		}
		n += width
	}
	return n
}

// decodeOne decodes the first character of text, which must not be empty, and returns its
// encoded length.
func decodeOne(text []byte) (c byte, width int) {
	switch {
	case text[0] == '%' && len(text) >= 3:
		if v, ok := hexByte(text[1], text[2]); ok {
			return v, 3
		}
	case text[0] == '\\' && len(text) >= 6 && text[1] == 'u' && text[2] == '0' && text[3] == '0':
		if v, ok := hexByte(text[4], text[5]); ok {
			return v, 6
		}
	}
	return text[0], 1
}

func hexByte(high, low byte) (byte, bool) {
	h, okHigh := hexDigit(high)
	l, okLow := hexDigit(low)
	return h<<4 | l, okHigh && okLow
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

func isKeyByte(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_'
}

// path returns the path and query to forward to a service, with keys redacted.
func (r *redactor) path(u *url.URL) string {
	path := u.EscapedPath()
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return string(r.redact([]byte(path)))
}

// headers returns the request headers to forward: those on the allow-list, without values
// that contain a key.
func (r *redactor) headers(h http.Header) http.Header {
	kept := http.Header{}
	for _, name := range requestHeaders {
		for _, v := range h.Values(name) {
			if !r.holdsKey(v) {
				kept.Add(name, v)
			}
		}
	}
	return kept
}

// holdsKey reports whether text contains a key in any encoding that redact finds.
func (r *redactor) holdsKey(text string) bool {
	return string(r.redact([]byte(text))) != text
}
