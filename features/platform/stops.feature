Feature: a planned stop ends no request that was accepted without an answer

  Scenario: a stream that outlasts its daemon's stop is logged as cut
    # Guards against logs that name the caller as the one who left.
    When a daemon is asked to stop under a stream that lasts longer
    Then the log tells how many requests were cut, and where each one was
