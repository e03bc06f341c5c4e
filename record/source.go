package record

import "strings"

// Placeholders of a packed source. No source that an operator writes has to
// hold them; one that does is kept as it is.
const (
	namePlaceholder    = "\x01"
	versionPlaceholder = "\x02"
	literalPrefix      = "\x03"
)

// packSource shortens a version's source, which most often repeats the
// adapter's name and the version. The default source packs to nothing.
func packSource(ref AdapterRef, source string) string {
	if source == ref.String() {
		return ""
	}
	if strings.ContainsAny(source, namePlaceholder+versionPlaceholder+literalPrefix) {
		return literalPrefix + source
	}
	packed := strings.Replace(source, ref.Name, namePlaceholder, 1)
	// The version is looked for after the name, so that it is not found in it.
	before, after, named := strings.Cut(packed, namePlaceholder)
	if !named {
		return literalPrefix + source
	}
	return before + namePlaceholder + strings.Replace(after, ref.Version, versionPlaceholder, 1)
}

// unpackSource returns the source that packSource was given.
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
