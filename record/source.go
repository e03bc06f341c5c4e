package record

import "strings"

// Placeholders in a packed source. A source that contains one of these control characters is stored
// literally.
const (
	namePlaceholder    = "\x01"
	versionPlaceholder = "\x02"
	literalPrefix      = "\x03"
)

// packSource shortens a version's source, which usually contains the adapter's name and the version.
// The default source is packed to an empty string.
func packSource(ref AdapterRef, source string) string {
	if source == ref.String() {
		return ""
	}
	if strings.ContainsAny(source, namePlaceholder+versionPlaceholder+literalPrefix) {
		return literalPrefix + source
	}
	packed := strings.Replace(source, ref.Name, namePlaceholder, 1)
	// Only the text after the name is searched for the version, because the name may contain it too.
	before, after, named := strings.Cut(packed, namePlaceholder)
	if !named {
		return literalPrefix + source
	}
	return before + namePlaceholder + strings.Replace(after, ref.Version, versionPlaceholder, 1)
}

// unpackSource is the inverse of packSource.
func unpackSource(ref AdapterRef, packed string) string {
	if packed == "" {
		return ref.String()
	}
	if source, literal := strings.CutPrefix(packed, literalPrefix); literal {
		return source
	}
	before, after, _ := strings.Cut(packed, namePlaceholder)
	return before + ref.Name + strings.Replace(after, versionPlaceholder, ref.Version, 1)
}
