//! Targets of requests, whose variable parts are percent-encoded (RFC 3986).

use std::fmt::Display;

use http::Uri;
use http::uri::InvalidUri;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;
use quick_error::quick_error;

/// All characters but the unreserved ones, which mean the same everywhere in a target.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

quick_error! {
    /// Why a target can't be written.
    #[derive(Debug)]
    pub enum BadTarget {
        /// A part of the path is empty, and would name another object.
        EmptySegment {
            display("empty part of a path")
        }
        /// It is too long.
        Invalid(err: InvalidUri) {
            display("unusable target: {err}")
            source(err)
            from()
        }
    }
}

/// A target that is being written.
#[derive(Debug, Clone)]
pub struct Target {
    text: String,
    has_query: bool,
    has_empty_segment: bool,
}

impl Target {
    /// Starts with a fixed path, which is not encoded.
    #[must_use]
    pub fn new(path: &'static str) -> Self {
        Self {
            text: path.to_owned(),
            has_query: false,
            has_empty_segment: false,
        }
    }

    /// Adds a segment to the path.
    #[must_use]
    pub fn segment(mut self, segment: &str) -> Self {
        self.has_empty_segment |= segment.is_empty();
        self.text.push('/');
        if matches!(segment, "." | "..") {
            // As they stand they mean another path.
            self.text.push_str(&segment.replace('.', "%2E"));
        } else {
            self.text.extend(utf8_percent_encode(segment, RESERVED));
        }
        self
    }

    /// Adds the segments of a path to the path.
    #[must_use]
    pub fn segments(self, path: &str) -> Self {
        path.split('/').fold(self, Self::segment)
    }

    /// Adds a parameter to the query.
    #[must_use]
    pub fn parameter(mut self, name: &'static str, value: &dyn Display) -> Self {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.text.push_str(name);
        self.text.push('=');
        let value = value.to_string();
        self.text.extend(utf8_percent_encode(&value, RESERVED));
        self
    }

    /// The complete target.
    ///
    /// # Errors
    ///
    /// It names no object, or is too long.
    pub fn to_uri(&self) -> Result<Uri, BadTarget> {
        if self.has_empty_segment {
            return Err(BadTarget::EmptySegment);
        }
        Ok(self.text.parse()?)
    }
}

/// Decodes a part of a target; `None` if its bytes are no text. A `%` that encodes nothing stands for
/// itself.
#[must_use]
pub fn decode_part(part: &str) -> Option<String> {
    let decoded = percent_decode_str(part).decode_utf8().ok()?;
    Some(decoded.into_owned())
}
