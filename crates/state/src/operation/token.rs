//! Identifiers of operations: tokens, claims and keys.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::id::{Boot, Customer, Incarnation, NodeId};

/// Maximum length of a token suffix or caller key, in bytes.
pub const SUFFIX_MAX_BYTES: usize = 64;

/// Whether a text is valid as a token suffix or caller key.
fn is_valid_name(s: &str) -> bool {
    let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    (1..=SUFFIX_MAX_BYTES).contains(&s.len()) && s.bytes().all(valid)
}

/// Minutes since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
pub struct Minute(pub u32);

impl Minute {
    /// The minute `minutes` later, saturating at `u32::MAX`.
    pub fn saturating_add(self, minutes: u32) -> Self {
        Self(self.0.saturating_add(minutes))
    }
}

/// Owner and issue minute of an operation: the prefix of its token, or the value of its claim in the key-value service.
///
/// ```
/// use medlarstair_state::operation::Issuer;
/// let issuer: Issuer = "n3-17-29000000".parse().unwrap();
/// assert_eq!(issuer.to_string(), "n3-17-29000000");
/// assert!("n3-17-029".parse::<Issuer>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{owner}-{issued}")]
pub struct Issuer {
    /// The incarnation that owns the operation.
    pub owner: Incarnation,
    /// The minute in which the token was issued or the key was claimed.
    pub issued: Minute,
}

/// Error from parsing an [`Issuer`]: the text does not have the form `n<node>-<boot>-<minute>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("an issuer has the form n<node>-<boot>-<minute>, in decimal without leading zeros")]
pub struct ParseIssuerError;

impl FromStr for Issuer {
    type Err = ParseIssuerError;

    fn from_str(s: &str) -> Result<Self, ParseIssuerError> {
        let mut fields = s.strip_prefix('n').ok_or(ParseIssuerError)?.splitn(3, '-');
        let node = NodeId(decimal(fields.next())?);
        let boot = Boot(decimal(fields.next())?);
        let issued = Minute(decimal(fields.next())?);
        Ok(Self { owner: Incarnation { node, boot }, issued })
    }
}

/// Parses a decimal number in the form that `Display` writes. Other forms are rejected, so that every token has exactly
/// one spelling.
fn decimal<T: FromStr>(field: Option<&str>) -> Result<T, ParseIssuerError> {
    let text = field.ok_or(ParseIssuerError)?;
    let canonical = text == "0" || !text.starts_with(['0', '+']);
    if !canonical {
        return Err(ParseIssuerError);
    }
    text.parse().map_err(|_| ParseIssuerError)
}

/// Identifier of an operation, made of the prefix from a lookup and a suffix chosen by the caller.
///
/// ```
/// use medlarstair_state::operation::Token;
/// let token: Token = "n3-17-29000000-order-4711".parse().unwrap();
/// assert_eq!(&*token.suffix, "order-4711");
/// assert_eq!(token.to_string(), "n3-17-29000000-order-4711");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
#[display("{owner}-{issued}-{suffix}")]
pub struct Token {
    /// The incarnation that issued the prefix and owns the operation.
    pub owner: Incarnation,
    /// The minute in which the prefix was issued.
    pub issued: Minute,
    /// Suffix chosen by the caller: 1 to [`SUFFIX_MAX_BYTES`] characters of `a-z A-Z 0-9 . _ -`.
    pub suffix: Box<str>,
}

/// Error from parsing a [`Token`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display(
    "a token is the prefix from a lookup and 1 to {SUFFIX_MAX_BYTES} characters of a-z, A-Z, 0-9, '.', '_' and '-'"
)]
pub struct ParseTokenError;

impl FromStr for Token {
    type Err = ParseTokenError;

    fn from_str(s: &str) -> Result<Self, ParseTokenError> {
        let end_of_prefix = s.match_indices('-').nth(2).ok_or(ParseTokenError)?.0;
        let (prefix, suffix) = (&s[..end_of_prefix], &s[end_of_prefix + 1..]);
        let Issuer { owner, issued } = prefix.parse().map_err(|_| ParseTokenError)?;
        if !is_valid_name(suffix) {
            return Err(ParseTokenError);
        }
        Ok(Self { owner, issued, suffix: suffix.into() })
    }
}

impl TryFrom<Box<str>> for Token {
    type Error = ParseTokenError;

    fn try_from(s: Box<str>) -> Result<Self, ParseTokenError> {
        s.parse()
    }
}

impl From<Token> for Box<str> {
    fn from(token: Token) -> Self {
        token.to_string().into()
    }
}

/// Idempotency key chosen by the caller: 1 to [`SUFFIX_MAX_BYTES`] characters of `a-z A-Z 0-9 . _ -`.
///
/// ```
/// use medlarstair_state::operation::CallerKey;
/// assert_eq!("Order-4711".parse::<CallerKey>().unwrap().as_str(), "Order-4711");
/// assert!("orders/4711".parse::<CallerKey>().is_err());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct CallerKey(Box<str>);

impl CallerKey {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Error from parsing a [`CallerKey`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("a caller key is 1 to {SUFFIX_MAX_BYTES} characters of a-z, A-Z, 0-9, '.', '_' and '-'")]
pub struct ParseCallerKeyError;

impl FromStr for CallerKey {
    type Err = ParseCallerKeyError;

    fn from_str(s: &str) -> Result<Self, ParseCallerKeyError> {
        if is_valid_name(s) { Ok(Self(s.into())) } else { Err(ParseCallerKeyError) }
    }
}

impl TryFrom<Box<str>> for CallerKey {
    type Error = ParseCallerKeyError;

    fn try_from(s: Box<str>) -> Result<Self, ParseCallerKeyError> {
        s.parse()
    }
}

impl From<CallerKey> for Box<str> {
    fn from(key: CallerKey) -> Self {
        key.0
    }
}

/// A caller key that is claimed in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The claimed key.
    pub key: CallerKey,
    /// The value of the claim in the key-value service.
    pub issuer: Issuer,
}

/// Identifies an operation in a table.
///
/// The customer is part of the key because all callers whose lookups are answered in the same minute get the same
/// prefix, and two customers may choose the same suffix.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OperationKey {
    /// Owner and issue minute of the operation.
    pub issuer: Issuer,
    /// The customer that sent the request.
    pub customer: Customer,
    /// Whether `name` is a claimed key. Otherwise it is the suffix of a token.
    pub claimed: bool,
    /// The claimed key or the suffix of the token.
    pub name: Box<str>,
}

impl OperationKey {
    /// The key of the operation that `token` identifies.
    pub fn from_token(customer: &Customer, token: &Token) -> Self {
        let issuer = Issuer { owner: token.owner, issued: token.issued };
        Self { issuer, customer: customer.clone(), claimed: false, name: token.suffix.clone() }
    }

    /// The key of the operation that `claim` identifies.
    pub fn from_claim(customer: &Customer, claim: &Claim) -> Self {
        Self { issuer: claim.issuer, customer: customer.clone(), claimed: true, name: claim.key.0.clone() }
    }

    /// Number of bytes of the customer and the name.
    pub(super) fn text_bytes(&self) -> usize {
        self.customer.as_str().len() + self.name.len()
    }
}
