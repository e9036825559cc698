//! Hashing of keys for the decision module.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use xxhash_rust::xxh3::xxh3_64;

/// How keys are hashed. All nodes of a tier must use the same method, or they rank servers in different
/// orders.
#[derive(Clone, Copy, Default, PartialEq)]
pub enum KeyHasher {
    /// An unkeyed hash that anyone can compute.
    #[default]
    Plain,
    /// SipHash-1-3 with a secret: someone who sees the hashes, for example in a record, cannot test which
    /// keys they belong to.
    Secret([u8; 16]),
}

// The secret must not reach a log through a debug print.
impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            KeyHasher::Plain => "Plain",
            KeyHasher::Secret(_) => "Secret",
        })
    }
}

impl KeyHasher {
    /// Parses a secret: 32 hexadecimal digits, optionally surrounded by white space.
    ///
    /// # Errors
    /// One line that names what is wrong.
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

    /// The hash of a key; never 0, which stands for no key.
    pub fn hash(&self, key: &[u8]) -> u64 {
        let hash = match self {
            KeyHasher::Plain => xxh3_64(key),
            KeyHasher::Secret(secret) => {
                let mut hasher = SipHasher13::new_with_key(secret);
                hasher.write(key);
                hasher.finish()
            }
        };
        hash.max(1)
    }
}

#[cfg(test)]
#[path = "../tests/unit/keys.rs"]
mod tests;
