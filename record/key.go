package record

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"
)

// KeyHash is the SHA-256 of a key's secret. A secret is 32 random bytes, so an unsalted hash cannot be
// reversed by guessing.
type KeyHash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h KeyHash) String() string {
	return hex.EncodeToString(h[:])
}

// HashSecret returns the hash under which a secret is stored.
func HashSecret(secret string) KeyHash {
	return sha256.Sum256([]byte(secret))
}

// SecretPrefix is the prefix of every secret, so that leaked secrets can be searched for.
const SecretPrefix = "jlk_"

// secretBytes is the number of random bytes in a secret.
const secretBytes = 32

// NewSecret returns a new secret from the system's random source.
func NewSecret() string {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never fails
	return SecretPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// AdapterRef refers to an adapter or, if Version is set, to one version of it.
type AdapterRef struct {
	Name    string
	Version string
}

// String returns "name" or "name@version".
func (r AdapterRef) String() string {
	if r.Version == "" {
		return r.Name
	}
	return r.Name + "@" + r.Version
}

// ParseAdapterRef parses "name" or "name@version".
func ParseAdapterRef(s string) (AdapterRef, bool) {
	name, version, found := strings.Cut(s, "@")
	if name == "" || (found && version == "") || strings.Contains(version, "@") {
		return AdapterRef{}, false
	}
	return AdapterRef{Name: name, Version: version}, true
}
