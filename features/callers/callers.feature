Feature: callers can't hold a daemon for ever

  Scenario: callers that misbehave get a clear error or a bounded end
    # One sends half a head, one half a body, one too large a body, one the
    # same header twice, one smuggles a line break, one stops reading, one
    # leaves in mid-stream. None may hold the daemon, its memory or its stop.
    Given real daemons whose plain service takes 0 ms
    When raw callers misbehave towards a daemon in every way at once
    Then the half head was ended without an answer
    And the half body was answered 400 bad_request
    And the body that was cut off left the daemon unharmed
    And the too large body was answered 413 too_large
    And the doubled header was answered 400 bad_request
    And the header with a line break reached no handler
    And the caller that left ended the engine's stream
    And the misbehaving callers cost the daemon less than 64 MB
    And the daemon told to stop ended with status 0 despite the stalled reader
