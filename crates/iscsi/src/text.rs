//! Text of negotiations: `key=value` pairs, each terminated by a NUL byte (RFC 7143, section 6.1).

/// An error in the text of a negotiation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TextError {
    /// The text is not valid UTF-8.
    #[error("text is not valid UTF-8")]
    Encoding,
    /// A pair has no `=`.
    #[error("text pair without '=': {0:.40}")]
    NoEquals(String),
    /// A key is empty or longer than the 63 bytes that the standard allows.
    #[error("key of {0} bytes; a key must have 1 to 63 bytes")]
    KeyLength(usize),
    /// A key occurs twice in one negotiation.
    #[error("key {0} given twice")]
    DuplicateKey(String),
    /// More pairs than the maximum, which is ten times the number of keys of the standard.
    #[error("more than {0} keys in one negotiation")]
    TooManyKeys(usize),
    /// The text exceeds the maximum, given in bytes: 64 KiB for one negotiation, 1 MiB for the response to a
    /// Text request.
    #[error("more than {0} bytes of text")]
    TooLong(usize),
}

/// Maximum size in bytes of the text of one negotiation, over all its PDUs.
pub(crate) const MAX_TEXT: usize = 64 * 1024;

/// Maximum number of pairs in one negotiation.
pub(crate) const MAX_KEYS: usize = 256;

/// Splits text into pairs, in order; rejects duplicate keys.
pub(crate) fn parse(bytes: &[u8]) -> Result<Vec<(String, String)>, TextError> {
    let text = std::str::from_utf8(bytes).map_err(|_| TextError::Encoding)?;
    let mut pairs: Vec<(String, String)> = Vec::new();
    for pair in text.split('\0').filter(|p| !p.is_empty()) {
        let (key, value) =
            pair.split_once('=').ok_or_else(|| TextError::NoEquals(pair.chars().take(40).collect()))?;
        if key.is_empty() || key.len() > 63 {
            return Err(TextError::KeyLength(key.len()));
        }
        if pairs.len() == MAX_KEYS {
            return Err(TextError::TooManyKeys(MAX_KEYS));
        }
        pairs.push((key.to_owned(), value.to_owned()));
    }
    let mut keys: Vec<&str> = pairs.iter().map(|p| p.0.as_str()).collect();
    keys.sort_unstable();
    match keys.windows(2).find(|w| w[0] == w[1]) {
        Some(w) => Err(TextError::DuplicateKey(w[0].to_owned())),
        None => Ok(pairs),
    }
}

/// Appends a pair with its terminating NUL byte.
pub(crate) fn put(out: &mut Vec<u8>, key: &str, value: &str) {
    out.extend_from_slice(key.as_bytes());
    out.push(b'=');
    out.extend_from_slice(value.as_bytes());
    out.push(0);
}
