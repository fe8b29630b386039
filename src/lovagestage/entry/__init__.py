"""Work that an entry does for a request, apart from the HTTP handling."""
