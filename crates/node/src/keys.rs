//! The numbers by which the decision module knows keys.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use xxhash_rust::xxh3::xxh3_64;

/// How keys become numbers. All nodes of a tier must do it alike, else each has an order of servers of its own.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum KeyHasher {
    /// By a hash that everybody can compute.
    #[default]
    Plain,
    /// By SipHash-1-3 under a secret: whoever sees the numbers, in a record say, can't try out which keys they are.
    Secret([u8; 16]),
}

// The secret must not reach a log by way of a debug print.
impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            KeyHasher::Plain => "Plain",
            KeyHasher::Secret(_) => "Secret",
        })
    }
}

impl KeyHasher {
    /// Reads a secret: 32 hexadecimal digits, with white space round them.
    ///
    /// # Errors
    /// One plain line.
    pub fn from_hex_secret(text: &str) -> Result<KeyHasher, String> {
        let digits = text.trim();
        if digits.len() != 32 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(format!(
                "a secret is 32 hexadecimal digits, not {} characters",
                digits.chars().count()
            ));
        }
        let mut secret = [0; 16];
        for (i, byte) in secret.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&digits[2 * i..2 * i + 2], 16).map_err(|e| e.to_string())?;
        }
        Ok(KeyHasher::Secret(secret))
    }

    /// The number of a key; never 0, which would mean none.
    pub fn hash(&self, key: &[u8]) -> u64 {
        let number = match self {
            KeyHasher::Plain => xxh3_64(key),
            KeyHasher::Secret(secret) => {
                let mut hasher = SipHasher13::new_with_key(secret);
                hasher.write(key);
                hasher.finish()
            }
        };
        number.max(1)
    }
}

#[cfg(test)]
#[path = "../tests/unit/keys.rs"]
mod tests;
