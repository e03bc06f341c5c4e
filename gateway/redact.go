package gateway

import (
	"encoding/base64"
	"net/http"
	"net/url"
	"strings"

	"github.com/jasminelock/jasminelock/record"
)

// redactedText replaces a key in a forwarded request.
const redactedText = "[redacted]"

const (
	// minSecretBytes is the minimum length of a presented secret to search for. A shorter
	// one cannot be a key, and would match ordinary text.
	minSecretBytes = 16
	// minKeySuffixChars is the minimum number of characters after record.SecretPrefix for text
	// to count as a key, whether or not it is the caller's.
	minKeySuffixChars = 32
)

// redactor removes keys from requests to an upstream: the secrets that the caller presented
// and any text in the format of a key.
type redactor struct {
	secrets []string
	// base64Forms are the secrets' representations inside base64 text.
	base64Forms []string
	// firstBytes marks the bytes that a key can start with in any encoding.
	firstBytes [256]bool
}

// newRedactor returns a redactor for the secrets in the request header.
func newRedactor(h http.Header) *redactor {
	r := &redactor{}
	r.firstBytes[record.SecretPrefix[0]], r.firstBytes['%'], r.firstBytes['\\'] = true, true, true
	for _, secret := range []string{callerSecret(h), h.Get(headerAPIKey)} {
		if len(secret) < minSecretBytes {
			continue
		}
		r.secrets = append(r.secrets, secret)
		r.base64Forms = append(r.base64Forms, base64Fragments(secret)...)
	}
	for _, form := range append(r.secrets[:len(r.secrets):len(r.secrets)], r.base64Forms...) {
		r.firstBytes[form[0]] = true
	}
	return r
}

// base64Fragments returns the representations of a secret inside longer base64 text, in both
// alphabets and at each of the three alignments. They leave out the characters at the ends
// that also encode bits of the neighbouring text.
func base64Fragments(secret string) []string {
	var forms []string
	for _, encoding := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
		for padding := range 3 {
			text := encoding.EncodeToString([]byte(strings.Repeat("\x00", padding) + secret))
			start := (padding*8 + 5) / 6
			end := (padding + len(secret)) * 8 / 6
			forms = append(forms, text[start:end])
		}
	}
	return forms
}

// redact returns text with every key replaced by redactedText. It does not modify text, and
// returns it as it is if it contains no key.
func (r *redactor) redact(text []byte) []byte {
	var out []byte
	copied := 0
	for i := 0; i < len(text); i++ {
		if !r.firstBytes[text[i]] {
			continue
		}
		n := r.keyLength(text[i:])
		if n == 0 {
			continue
		}
		out = append(out, text[copied:i]...)
		out = append(out, redactedText...)
		copied = i + n
		i = copied - 1
	}
	if copied == 0 {
		return text
	}
	return append(out, text[copied:]...)
}

// keyLength returns the length of the key at the start of text, 0 if there is none.
func (r *redactor) keyLength(text []byte) int {
	for _, secret := range r.secrets {
		if n := encodedLength(text, secret); n > 0 {
			return n
		}
	}
	for _, form := range r.base64Forms {
		if len(text) >= len(form) && string(text[:len(form)]) == form {
			return len(form)
		}
	}
	return keyFormatLength(text)
}

// keyFormatLength returns the length of the string in the format of a key at the start of
// text, 0 if there is none.
func keyFormatLength(text []byte) int {
	n := encodedLength(text, record.SecretPrefix)
	if n == 0 {
		return 0
	}
	suffixChars := 0
	for n < len(text) {
		c, width := decodeChar(text[n:])
		if !isKeyByte(c) {
			break
		}
		n += width
		suffixChars++
	}
	if suffixChars < minKeySuffixChars {
		return 0
	}
	return n
}

// encodedLength returns the encoded length of want at the start of text, 0 if text does not
// start with it. Each character may be literal, percent-encoded or a JSON escape.
func encodedLength(text []byte, want string) int {
	n := 0
	for i := range len(want) {
		if n >= len(text) {
			return 0
		}
		c, width := decodeChar(text[n:])
		if c != want[i] {
			return 0
		}
		n += width
	}
	return n
}

// decodeChar decodes the first character of text, which must not be empty, and returns its
// encoded length.
func decodeChar(text []byte) (c byte, width int) {
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

// redactedPath returns the path and query to forward to a service, with keys redacted.
func (r *redactor) redactedPath(u *url.URL) string {
	path := u.EscapedPath()
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return string(r.redact([]byte(path)))
}

// forwardedHeaders returns the request headers to forward: those on the allow-list, without
// values that contain a key.
func (r *redactor) forwardedHeaders(h http.Header) http.Header {
	kept := http.Header{}
	for _, name := range forwardedRequestHeaders {
		for _, v := range h.Values(name) {
			if !r.containsKey(v) {
				kept.Add(name, v)
			}
		}
	}
	return kept
}

// containsKey reports whether text contains a key in any encoding that redact finds.
func (r *redactor) containsKey(text string) bool {
	return string(r.redact([]byte(text))) != text
}
