Feature: tests that run side by side draw different ports

  Scenario: two processes of tests whose ids would give them one block
    # Guards against a stand-in that answers for another process's.
    When 300 ports are drawn by each of two processes
    Then none of one's ports is in the other's block
