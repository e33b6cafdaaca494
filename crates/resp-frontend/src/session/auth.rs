//! `AUTH` and `HELLO`, which authenticate the client and negotiate the protocol version.

use super::client_command::INVALID_NAME;
use super::reply_parts::{VERSION, number_field, text_field};
use super::state::Session;
use crate::arguments::Arguments;
use crate::settings::Settings;
use chalkwalk_resp::Writer;
use thiserror::Error;

/// The user for `AUTH` with only a secret.
const DEFAULT_USER: &[u8] = b"default";

/// Why `AUTH` or `HELLO` fails. The text is the error reply to the client, in the wording that
/// cluster servers use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum HelloError {
    /// No users are configured, so no client can authenticate.
    #[error(
        "ERR AUTH <password> called without any password configured for the default user. Are you sure your configuration is correct?"
    )]
    NoUsers,
    /// No user has this name and this secret.
    #[error("WRONGPASS invalid username-password pair or user is disabled.")]
    WrongSecret,
    /// The protocol version is neither 2 nor 3.
    #[error("NOPROTO unsupported protocol version")]
    UnsupportedVersion,
    /// The connection name is too long or has characters that are not allowed.
    #[error("{INVALID_NAME}")]
    InvalidName,
    /// An option is unknown or lacks its values.
    #[error("ERR Syntax error in HELLO option")]
    Syntax,
    /// The client has not authenticated, either before or with this command.
    #[error(
        "NOAUTH HELLO must be called with the client already authenticated, otherwise the HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client and select the RESP protocol version at the same time"
    )]
    NotAuthenticated,
}

impl Session {
    /// Executes `AUTH [user] secret`.
    pub(super) fn auth(&mut self, arguments: &Arguments, settings: &Settings, out: &mut Writer) {
        let authenticated = match arguments.len() {
            2 => self.authenticate(DEFAULT_USER, arguments.get(1), settings),
            _ => self.authenticate(arguments.get(1), arguments.get(2), settings),
        };
        match authenticated {
            Ok(()) => out.simple_string("OK"),
            Err(error) => out.error(&error.to_string()),
        }
    }

    fn authenticate(&mut self, user: &[u8], secret: &[u8], settings: &Settings) -> Result<(), HelloError> {
        if settings.users.is_empty() {
            return Err(HelloError::NoUsers);
        }
        if !settings.authenticates(user, secret) {
            return Err(HelloError::WrongSecret);
        }
        self.authenticated = true;
        self.user = String::from_utf8_lossy(user).to_string();
        Ok(())
    }

    /// Executes `HELLO [version [AUTH user secret] [SETNAME name]]`.
    pub(super) fn hello(&mut self, arguments: &Arguments, settings: &Settings, out: &mut Writer) {
        match self.negotiate(arguments, settings) {
            Ok(()) => self.write_hello_reply(out),
            Err(error) => out.error(&error.to_string()),
        }
    }

    /// Applies the options in order, then the protocol version. Options before an invalid one stay
    /// applied.
    fn negotiate(&mut self, arguments: &Arguments, settings: &Settings) -> Result<(), HelloError> {
        let resp3 = match arguments.get(1) {
            b"" => self.resp3,
            b"2" => false,
            b"3" => true,
            _ => return Err(HelloError::UnsupportedVersion),
        };
        let mut position = 2;
        while position < arguments.len() {
            position += self.apply_hello_option(arguments, position, settings)?;
        }
        if !self.authenticated {
            return Err(HelloError::NotAuthenticated);
        }
        self.resp3 = resp3;
        Ok(())
    }

    /// Applies the option at `position` and returns the number of arguments that it takes.
    fn apply_hello_option(
        &mut self,
        arguments: &Arguments,
        position: usize,
        settings: &Settings,
    ) -> Result<usize, HelloError> {
        match (arguments.keyword(position).as_str(), arguments.len() - position) {
            ("AUTH", 3..) => {
                let (user, secret) = (arguments.get(position + 1), arguments.get(position + 2));
                match self.authenticate(user, secret, settings) {
                    // A client that has authenticated before stays authenticated, and the command
                    // succeeds.
                    Err(HelloError::WrongSecret) if self.authenticated => Ok(3),
                    authenticated => authenticated.map(|()| 3),
                }
            }
            ("SETNAME", 2..) if self.try_set_name(arguments.get(position + 1)) => Ok(2),
            ("SETNAME", 2..) => Err(HelloError::InvalidName),
            _ => Err(HelloError::Syntax),
        }
    }

    /// Writes the reply to `HELLO`, which describes this server, in the negotiated protocol
    /// version.
    fn write_hello_reply(&self, out: &mut Writer) {
        const FIELDS: usize = 7;
        out.resp3 = self.resp3;
        out.map_header(FIELDS);
        text_field("server", "redis", out);
        text_field("version", VERSION, out);
        number_field("proto", self.protocol_version(), out);
        number_field("id", self.id as i64, out);
        text_field("mode", "cluster", out);
        text_field("role", "master", out);
        out.bulk_string(b"modules");
        out.array_header(0);
    }

    /// The protocol version of the replies to the client.
    pub(super) fn protocol_version(&self) -> i64 {
        if self.resp3 { 3 } else { 2 }
    }
}
