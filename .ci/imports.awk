# Checks what stable rustfmt can't: one import a line, and three groups in the
# order std, other crates, this crate, with a blank line between.
function group(path) {
    if (path ~ /^(std|core|alloc)(::|;)/) return 1
    if (path ~ /^(crate|super|self)(::|;)/) return 3
    return 2
}
FNR == 1 { last = 0; blank = 0 }
/^(pub(\([a-z]+\))? )?use / {
    path = $0; sub(/^(pub(\([a-z]+\))? )?use /, "", path)
    if (path ~ /[{,]/) { print FILENAME ":" FNR ": more than one import a line"; bad = 1 }
    if ($0 ~ /^use /) {
        g = group(path)
        if (last && g < last) { print FILENAME ":" FNR ": import group out of order"; bad = 1 }
        if (last && g != last && !blank) { print FILENAME ":" FNR ": no blank line between import groups"; bad = 1 }
        last = g
    }
    blank = 0; next
}
/^$/ { blank = 1; next }
{ blank = 0 }
END { exit bad }
